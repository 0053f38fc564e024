package org.vanilladale.bench.routing

/**
 * A load and fault pattern of the experiment.
 *
 * @property load offered work as a multiple of the capacity at a cache hit share of one half
 * @property floodLoad part of [load] that workspace 0 adds on its own
 * @property slowFactor step time of target 0 as a multiple of the others
 * @property fault true when targets fail from [FAULT_START_SECOND] for a minute
 * @property faultEvery 2 lets every second target fail
 */
internal data class Condition(
    val name: String,
    val load: Double,
    val floodLoad: Double = 0.0,
    val slowFactor: Double = 1.0,
    val fault: Boolean = false,
    val faultEvery: Int = 2,
    val entries: Int = 20,
    val targets: Int = 16,
) {
    val workspaces: Int get() = targets * WORKSPACES_PER_16_TARGETS / 16

    companion object {
        const val SECONDS = 300
        const val WARM_UP_SECONDS = 30
        const val FAULT_START_SECOND = 120
        const val FAULT_END_SECOND = 180
        const val WORKSPACES_PER_16_TARGETS = 10

        val all: List<Condition> = listOf(
            Condition("drift-0.8", load = 0.8),
            Condition("slow-target", load = 0.7, slowFactor = 3.0),
            Condition("flood", load = 2.0, floodLoad = 1.4),
            Condition("overload-1.0", load = 1.0),
            Condition("overload-1.5", load = 1.5),
            Condition("overload-3.0", load = 3.0),
            Condition("fault", load = 0.8, fault = true),
        )
    }
}
