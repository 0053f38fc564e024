package org.vanilladale.core.rankgroup

import org.vanilladale.schema.ArmedMap
import org.vanilladale.schema.Digest
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Step
import org.vanilladale.schema.Term
import org.vanilladale.schema.VmId

/**
 * Parameters of one map switch.
 *
 * @property digest digest of the new map, which must differ from that of the active map
 * @property preloadMilliseconds maximum time for which the lease is renewed while weights are
 * loaded
 * @property switchStep computes the switch step from the latest step that the ranks have reported
 * @property isSameSwitch returns whether two armed maps belong to the same switch
 */
public class MapSwitchPlan private constructor(builder: Builder) {
    public val group: GroupId = builder.group
    public val holder: VmId = builder.holder
    public val term: Term = builder.term
    public val digest: Digest = builder.digest
    public val ranks: Set<Rank> = builder.placement.ranks
    public val map: GroupMap = builder.placement.map
    public val base: MapBase? = builder.placement.base
    public val leaseMilliseconds: Long = builder.leaseMilliseconds
    public val retryMilliseconds: Long = builder.retryMilliseconds
    public val preloadMilliseconds: Long = builder.preloadMilliseconds
    public val switchStep: (Step) -> Step = builder.switchStep
    public val isSameSwitch: (ArmedMap, ArmedMap) -> Boolean = builder.isSameSwitch

    /**
     * Ranks of the group and the copies of each expert.
     *
     * @property base active map, relative to which the ranks get the changes; null if they get the
     * whole map
     */
    public data class Placement(val ranks: Set<Rank>, val map: GroupMap, val base: MapBase? = null)

    /** Builds a plan. */
    public class Builder internal constructor(
        internal val group: GroupId,
        internal val holder: VmId,
        internal val term: Term,
    ) {
        public lateinit var placement: Placement
        private var digestText: String? = null
        public var digest: Digest
            get() = Digest.parse(checkNotNull(digestText) { "set the digest of the map" })
            set(value) {
                digestText = value.text
            }
        public var leaseMilliseconds: Long = DEFAULT_LEASE_MILLISECONDS
        public var retryMilliseconds: Long = DEFAULT_RETRY_MILLISECONDS
        public var preloadMilliseconds: Long = DEFAULT_PRELOAD_MILLISECONDS
        public var switchStep: (Step) -> Step = { Step(it.value + DEFAULT_STEPS_AHEAD) }
        public var isSameSwitch: (ArmedMap, ArmedMap) -> Boolean = { left, right -> left == right }

        internal fun build() = MapSwitchPlan(this)
    }

    public companion object {
        private const val DEFAULT_LEASE_MILLISECONDS = 2_000L
        private const val DEFAULT_RETRY_MILLISECONDS = 100L
        private const val DEFAULT_PRELOAD_MILLISECONDS = 60_000L
        private const val DEFAULT_STEPS_AHEAD = 30L

        /** Builds the plan of [holder] for [group] under [term]. */
        public fun plan(
            group: GroupId,
            holder: VmId,
            term: Term,
            configure: Builder.() -> Unit,
        ): MapSwitchPlan = Builder(group, holder, term).apply(configure).build()
    }
}
