package org.vanilladale.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.random.Random
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.withTimeoutOrNull
import org.vanilladale.core.gateway.FleetView
import org.vanilladale.core.gateway.GatewayPool
import org.vanilladale.core.gateway.HomeTargets
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.gateway.PassTiming
import org.vanilladale.core.gateway.PauseRule
import org.vanilladale.core.gateway.PlacementCandidate
import org.vanilladale.core.gateway.PriorityMix
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.core.gateway.TargetOutcomes
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.shard.Locked
import org.vanilladale.core.shard.Sharded
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.PoolWaiting
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetShare
import org.vanilladale.schema.Timestamp

/**
 * Assigns requests to targets based on the load known to this entry and its peers. Thread-safe.
 *
 * @param callerFacingEntries number of entries that share the limits of the pools
 * @param homeTargets targets that this entry prefers; see [HomeTargets]
 * @param coldTargets cold targets, which get few requests or none
 */
internal class PoolDispatcher(
    private val ownDataCentre: DataCentreName,
    private val directory: Locked<TargetDirectory>,
    private val fleet: Locked<FleetView>,
    private val clock: () -> Timestamp,
    private val random: Random,
    private val homeTargets: () -> Set<TargetId>,
    private val callerFacingEntries: () -> Int,
    private val coldTargets: ColdTargets,
    private val onLoadChanged: () -> Unit,
) {
    private val pools = Sharded<PoolName, HashMap<PoolName, PoolState>>(SHARDS) { HashMap() }

    /** Waits for a slot at a target that is not in [tried]; see [Waiter]. */
    suspend fun acquire(
        request: ForwardedRequest,
        tried: Set<TargetId>,
        isContinued: Boolean,
    ): Either<Refusal, Slot> {
        val poolName = request.pool.name
        evacuationRefusalOrNull(poolName)?.let { return it.left() }
        val waiter = Waiter(request, tried, isContinued)
        val pauseEnd = pauseEndOrNull(poolName)
        val waitDeadline = withPool(poolName) { admit(waiter, clock(), pauseEnd) }
            .fold({ return it.left() }, { it })
        onLoadChanged()
        val slot = try {
            withTimeoutOrNull(waitDeadline.millisecondsLeft(clock())) { waiter.slot.await() }
                ?: cancelWaiting(poolName, waiter)
        } catch (cancelled: CancellationException) {
            cancelWaiting(poolName, waiter)?.let { releaseUnused(poolName, it.target.id) }
            throw cancelled
        }
        return slot?.right() ?: (waiter.refusal ?: refusalOfWaiter(poolName)).left()
    }

    private fun refusalOfWaiter(pool: PoolName): Refusal = evacuationRefusalOrNull(pool)
        ?: pauseEndOrNull(pool)?.let { PauseRule.refusal(it, random) } ?: Refusal(
        RefusalReason.TARGET_OVERLOADED,
        detail = "no place became free in time",
        retryAt = clock().deadlineAfter(RETRY_AFTER_MILLISECONDS),
    )

    /** Returns the refusal of requests whose targets are all evacuated, or null. */
    private fun evacuationRefusalOrNull(pool: PoolName): Refusal? {
        if (!directory.use { it.isEvacuated(pool) }) return null
        return Refusal(
            RefusalReason.NO_TARGET,
            detail = "the data centres of all targets of ${pool.text} are evacuated",
            retryAt = clock().deadlineAfter(EVACUATED_RETRY_AFTER_MILLISECONDS),
        )
    }

    /** Refuses the requests that wait for targets which are all evacuated. */
    fun evacuationsChanged() {
        pools.mapShards { shard ->
            shard.filterKeys { pool -> directory.use { it.isEvacuated(pool) } }
                .values.forEach { it.refuseAllWaiters() }
        }
    }

    private fun pauseEndOrNull(pool: PoolName): Deadline? =
        directory.use { it.pauseEndOrNull(pool, clock()) }

    /** Refuses the requests that can't wait until a target of [pool] takes requests again. */
    fun pauseBegan(pool: PoolName) {
        val pauseEnd = pauseEndOrNull(pool) ?: return
        withPool(pool) { refuseWaitersBefore(pauseEnd) }
    }

    /** Releases a slot that was taken at [takenAt]. */
    fun release(pool: PoolName, target: TargetId, takenAt: Timestamp) =
        releaseAfter(pool, target, clock().millisecondsSince(takenAt))

    /** Releases a slot at which no attempt was begun. */
    fun releaseUnused(pool: PoolName, target: TargetId) = releaseAfter(pool, target, null)

    private fun releaseAfter(pool: PoolName, target: TargetId, heldMilliseconds: Long?) {
        withPool(pool) {
            release(target, heldMilliseconds)
            fill(clock())
        }
        onLoadChanged()
    }

    /** Records the outcome of an attempt, or an observation, at a target of [pool]. */
    fun observe(pool: PoolName, block: TargetOutcomes.(Timestamp) -> Unit) {
        withPool(pool) { outcomes.block(clock()) }
    }

    /** Removes the recorded outcomes of the targets in [gone], which are no longer listed. */
    fun forgetTargets(gone: List<TargetId>) {
        if (gone.isEmpty()) return
        coldTargets.forgetTargets(gone)
        pools.mapShards { shard -> shard.values.forEach { gone.forEach(it.outcomes::forget) } }
    }

    /** Assigns slots that other entries or new targets may have made available. */
    fun retryWaiting() {
        pools.mapShards { shard -> shard.values.forEach { it.fillAtRandom(clock()) } }
    }

    /** Returns the contribution of this entry to the load of each target. */
    fun shares(): List<TargetShare> = pools.mapShards { shard ->
        val now = clock()
        shard.values.flatMap { state ->
            (state.inUse + state.outcomes.activeTargets(now)).map { target ->
                TargetShare(
                    target,
                    state.running(target),
                    state.outcomes.failures(target, now),
                    state.outcomes.gapOrNull(target, now)?.toInt() ?: 0,
                )
            }
        }
    }.flatten()

    /** Records that a request, first sent at [firstSentAt], was answered completely. */
    fun recordAnswer(pool: PoolName, firstSentAt: Timestamp) =
        withPool(pool) { serviceTimes.record(clock().millisecondsSince(firstSentAt)) }

    /** Returns the time that few answers of [pool] exceed, or null before the first answer. */
    fun longestUsualMillisecondsOrNull(pool: GatewayPool): Long? =
        withPool(pool.name) { serviceTimes.longestUsualMillisecondsOrNull }

    /** Returns the number of requests of each pool that wait and can meet their goal, if any. */
    fun waiting(): List<PoolWaiting> = pools.mapShards { shard ->
        shard.mapNotNull { (name, state) ->
            val byPriority = state.waitingByPriority(clock())
            PoolWaiting(name, state.waitingInTime, byPriority)
                .takeIf { it.waiting > 0 || byPriority.any { count -> count > 0 } }
        }
    }.flatten()

    /** Returns the durations of the passes of [ranks], a group of [pool], or null when unknown. */
    fun passTimingOrNull(pool: GatewayPool, ranks: List<KnownTarget>): PassTiming? {
        val engine = pool.engine ?: return null
        val ids = ranks.mapTo(HashSet()) { it.id }
        return withPool(pool.name) {
            val members =
                candidates(this, pool.name, clock()).filter { it.target.id in ids }
            passTimingOrNull(members, engine)
        }
    }

    /** Removes [waiter] from its queue. Returns the slot that it was assigned meanwhile, if any. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private fun cancelWaiting(poolName: PoolName, waiter: Waiter): Slot? = withPool(poolName) {
        remove(waiter)
        if (waiter.slot.isCompleted) waiter.slot.getCompleted() else null
    }

    private fun candidates(
        state: PoolState,
        pool: PoolName,
        now: Timestamp,
    ): List<PlacementCandidate> {
        val targets = directory.use { it.usable(pool, now) }
        val recovering =
            directory.use { known -> targets.filter { known.isRecovering(it, now) } }.toSet()
        val home = homeTargets()
        val cold = coldTargets.select(targets, pool, now)
        return fleet.use { view ->
            targets.map { target ->
                val ownGap = state.outcomes.gapOrNull(target.id, now)
                val peerGap = view.gapOrNull(target.id)
                PlacementCandidate(
                    target,
                    state.running(target.id) + view.running(target.id),
                    state.outcomes.failures(target.id, now) + view.failures(target.id),
                    if (ownGap == null ||
                        peerGap == null
                    ) {
                        ownGap ?: peerGap
                    } else {
                        (ownGap + peerGap) / 2
                    },
                    state.outcomes.isAvoided(target.id, now),
                    target.dataCentre == ownDataCentre,
                    // No other entry sends to a cold target that this one owns.
                    target.id in home || target.id in cold.open,
                    state.running(target.id),
                    target in recovering,
                    target.id in cold.held,
                )
            }
        }
    }

    private fun waitingAtPeers(view: FleetView, pool: PoolName, priority: Int): Int =
        if (priority >= PriorityMix.LEAST_URGENT) {
            view.waiting(pool)
        } else {
            view.waitingFrom(pool, priority)
        }

    private fun <R> withPool(pool: PoolName, block: PoolState.() -> R): R =
        pools.withShard(pool) { shard ->
            shard.getOrPut(pool) {
                PoolState(
                    random,
                    { state, now -> candidates(state, pool, now) },
                    { priority -> fleet.use { waitingAtPeers(it, pool, priority) } },
                    { fleet.use { it.waitingEntries(pool) } },
                    callerFacingEntries,
                    { priority -> fleet.use { it.waitingBefore(pool, priority) } },
                    coldTargets::recordSend,
                )
            }.block()
        }

    private companion object {
        const val SHARDS = 4

        /** While all slots are in use, some become free within this time. */
        const val RETRY_AFTER_MILLISECONDS = 300L

        /** An evacuation takes seconds at least; callers may return sooner by their own rule. */
        const val EVACUATED_RETRY_AFTER_MILLISECONDS = 1_000L
    }
}
