package org.vanilladale.core.groupswitch

import org.vanilladale.schema.Step

/**
 * State that one rank of a group reports. It may be several hundred milliseconds old.
 *
 * @property epoch number that identifies the formation of the group; a newly formed group starts
 *   with the first map
 * @property isOpen whether the group runs passes
 * @property step last pass that was begun
 * @property mapVersion version of the map in use
 * @property prepared version whose experts are loaded, or null
 * @property armed version that the rank switches to at a later pass, or null
 * @property heldAt pass that the group may not begin yet, or null
 * @property pace ratio of the time that the rank takes for its work to the usual time
 */
public data class RankReport(
    val epoch: Long,
    val isOpen: Boolean,
    val step: Step,
    val mapVersion: Long,
    val prepared: Long?,
    val armed: Long?,
    val heldAt: Step?,
    val pace: Double = 1.0,
) {
    /** True while no map switch is in progress at the rank. */
    val isSettled: Boolean get() = armed == null && heldAt == null

    /** Highest version of a map that the rank is known to have received. */
    val highestVersion: Long get() = maxOf(mapVersion, prepared ?: 0, armed ?: 0)
}
