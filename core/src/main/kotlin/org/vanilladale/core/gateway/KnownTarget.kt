package org.vanilladale.core.gateway

import org.vanilladale.core.groupswitch.GroupMembership
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.TargetId

/**
 * What the platform's list says of a target.
 *
 * @property leaving whether the target has announced that it ends soon
 * @property seat place in a rank group; null when the target has none
 */
public data class KnownTarget(
    val id: TargetId,
    val pool: PoolName,
    val address: SocketAddressText,
    val dataCentre: DataCentreName?,
    val slots: Int,
    val leaving: Boolean,
    val seat: GroupMembership?,
) {
    /** True when the target takes no requests because its group is not formed. */
    val isInClosedGroup: Boolean get() = seat?.isOpen == false
}
