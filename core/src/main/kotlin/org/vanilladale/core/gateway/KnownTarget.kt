package org.vanilladale.core.gateway

import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.TargetId

/**
 * What the platform's list says of a target.
 *
 * @property leaving whether the target has announced that it ends soon
 * @property group rank group of the target; null when it has none or the list does not say
 */
public data class KnownTarget(
    val id: TargetId,
    val pool: PoolName,
    val address: SocketAddressText,
    val dataCentre: DataCentreName?,
    val slots: Int,
    val leaving: Boolean,
    val group: GroupId?,
)
