package org.vanilladale.transport

import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.Role
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.VmId

/**
 * Who is at the other end of a connection.
 *
 * @property target target of an agent; null for entries
 */
public data class PeerIdentity(
    val vm: VmId,
    val role: Role,
    val dataCentre: DataCentreName,
    val incarnation: Incarnation,
    val target: TargetId? = null,
)
