package org.vanilladale.core.gateway

import org.vanilladale.core.groupswitch.GroupMembership
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * A target as the platform lists it.
 *
 * @property slots number of requests that the target runs at a time
 * @property leaving whether the target has announced that it is shutting down
 * @property seat membership in a rank group; null if the target belongs to none
 * @property startedAt start of the process that the target states; null if it states none
 * @property coldUntil end of the time for which the target says that it is cold; null if it says
 *   nothing of the kind
 */
public data class KnownTarget(
    val id: TargetId,
    val pool: PoolName,
    val address: SocketAddressText,
    val dataCentre: DataCentreName?,
    val slots: Int,
    val leaving: Boolean,
    val seat: GroupMembership?,
    val startedAt: Timestamp? = null,
    val coldUntil: Deadline? = null,
) {
    /** Whether the target takes no requests because its rank group is not open. */
    val isInClosedGroup: Boolean get() = seat?.isOpen == false
}
