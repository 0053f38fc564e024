package org.vanilladale.gateway

import org.vanilladale.core.gateway.AddressCandidate
import org.vanilladale.core.gateway.ColdPeriod
import org.vanilladale.core.gateway.ColdProfile
import org.vanilladale.core.gateway.ColdTargetLimit
import org.vanilladale.core.gateway.ColdTargetOwner
import org.vanilladale.core.gateway.FleetView
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.core.shard.Locked
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/**
 * Decides whether cold targets may get a request of this entry; see [ColdTargetOwner] and
 * [ColdTargetLimit]. Thread-safe.
 *
 * @param profileOf returns the limits of the cold targets of a pool, or null if it has none
 * @param expectsPeers returns whether the settings name other entries
 * @param ownsFrom time from which this entry owns targets. An entry that has just started knows
 *   few of its peers, so it would take targets for its own that belong to others
 */
internal class ColdTargets(
    private val own: VmId,
    private val directory: Locked<TargetDirectory>,
    private val fleet: Locked<FleetView>,
    private val profileOf: (PoolName) -> ColdProfile?,
    private val expectsPeers: () -> Boolean,
    private val ownsFrom: Deadline,
    private val log: GatewayLog,
    private val metrics: GatewayMetrics,
) {
    private class State {
        val limit = ColdTargetLimit()
        val cold = LinkedHashSet<TargetId>()
        var entries: List<AddressCandidate> = emptyList()
        val owned = HashMap<TargetId, Boolean>()
    }

    private val state = Locked(State())

    /** Sets the caller-facing entries, among which the owners of cold targets are chosen. */
    fun updateEntries(entries: List<AddressCandidate>) {
        // The order of the peers changes with each heartbeat.
        val sorted = entries.sortedBy { it.vm.text }
        state.use {
            if (it.entries == sorted) return@use
            it.entries = sorted
            it.owned.clear()
        }
    }

    /** Whether a target was cold when it was last looked at. */
    val isActive: Boolean get() = state.use { it.cold.isNotEmpty() }

    /**
     * Cold targets of a pool.
     *
     * @property held those that get no request of this entry at present
     * @property open those that this entry owns and that may get a request now
     */
    class Selection(val held: Set<TargetId>, val open: Set<TargetId>)

    /** Returns the cold ones among the [targets] of [pool] at [now]. */
    fun select(targets: List<KnownTarget>, pool: PoolName, now: Timestamp): Selection {
        val profile = profileOf(pool) ?: return NONE
        val coldTargets = directory.use { known ->
            targets.filter { target ->
                val evacuationEnd = known.evacuations.endOrNull(target)
                ColdPeriod.endOrNull(target, profile, evacuationEnd, now) != null
            }
        }
        val mayOwn = coldTargets.isNotEmpty() && ownsFrom.hasPassed(now) &&
            !fleet.use { it.mayBeCutOff(expectsPeers(), now) }
        return state.use { known ->
            recordCold(known, targets, coldTargets)
            val (open, held) = coldTargets.partition { target ->
                mayOwn && isOwned(known, target) && known.limit.allows(target.id, profile, now)
            }
            Selection(held.mapTo(HashSet()) { it.id }, open.mapTo(HashSet()) { it.id })
        }
    }

    /** Records that [target] gets a request at [now]. */
    fun recordSend(target: KnownTarget, now: Timestamp) {
        val profile = profileOf(target.pool) ?: return
        state.use { if (target.id in it.cold) it.limit.recordSend(target.id, profile, now) }
    }

    private fun isOwned(state: State, target: KnownTarget): Boolean =
        state.owned.getOrPut(target.id) {
            ColdTargetOwner.chooseOrNull(target, state.entries) == own
        }

    private fun recordCold(
        state: State,
        targets: List<KnownTarget>,
        coldTargets: List<KnownTarget>,
    ) {
        val before = state.cold.size
        val coldIds = coldTargets.mapTo(HashSet()) { it.id }
        coldTargets.filter { state.cold.add(it.id) }
            .forEach { log.log(GatewayEvent.ColdTarget(it.id.text, "cold", isOwned(state, it))) }
        targets.filter { it.id !in coldIds && state.cold.remove(it.id) }
            .forEach { log.log(GatewayEvent.ColdTarget(it.id.text, "warm", isOwned(state, it))) }
        if (state.cold.size != before) {
            metrics.counters.state("cold-targets", state.cold.size.toDouble())
        }
    }

    /** Removes what is known of the targets in [gone], which are no longer listed. */
    fun forgetTargets(gone: List<TargetId>) = state.use { known ->
        gone.forEach {
            known.cold.remove(it)
            known.owned.remove(it)
        }
    }

    private companion object {
        val NONE = Selection(emptySet(), emptySet())
    }
}
