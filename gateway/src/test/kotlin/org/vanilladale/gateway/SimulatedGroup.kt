package org.vanilladale.gateway

import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.groupswitch.OrderAnswer
import org.vanilladale.core.groupswitch.RankOrder
import org.vanilladale.core.groupswitch.RankReport
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.Step
import org.vanilladale.schema.TargetId

/**
 * A group in virtual time whose orders may stay without an answer and be carried out seconds later,
 * and whose reports are old.
 *
 * @param lateShare share of the orders that get no answer and are carried out late
 */
internal class SimulatedGroup(
    private val scope: CoroutineScope,
    private val random: Random,
    private val lateShare: Double,
    private val now: () -> Long,
) : RankPort {
    private class RankState {
        var map = 0L
        var highest = 0L
        var prepared: Long? = null
        var preparing: Long? = null
        var armed: Pair<Long, Long>? = null
        var heldAt: Long? = null
    }

    private val states = List(RANKS) { RankState() }
    private val history = ArrayList<Pair<Long, List<RankReport>>>()
    private var step = 0L

    val ranks = List(RANKS) { rank ->
        KnownTarget(
            TargetId.parse("rank-$rank"),
            PoolName.parse("model"),
            SocketAddressText.parse("10.0.0.1:8000"),
            null,
            8,
            leaving = false,
            seat = null,
        )
    }

    /** Passes that began with more than one map. */
    var mixedPasses = 0
        private set

    /** Passes that began. */
    val passes: Long get() = step

    /** Versions that came into use. */
    val used = HashSet<Long>()

    /** Runs passes until the scope ends. */
    suspend fun run() {
        while (true) {
            delay(PASS_MILLISECONDS)
            if (states.none { it.heldAt == step + 1 }) beginPass()
            history += now() to states.map(::snapshot)
            if (history.size > HISTORY) history.removeAt(0)
        }
    }

    override suspend fun report(rank: KnownTarget): RankReport? {
        delay(1)
        val lag = random.nextLong(LAG_MILLISECONDS)
        val seen = history.lastOrNull { it.first <= now() - lag } ?: history.firstOrNull()
        return seen?.second?.get(indexOf(rank))
    }

    override suspend fun chosen(rank: KnownTarget): ExpertUsage? = null

    override suspend fun held(rank: KnownTarget): LoadedExperts? = null

    override suspend fun order(rank: KnownTarget, order: RankOrder, epoch: Long): OrderAnswer {
        delay(1)
        val state = states[indexOf(rank)]
        if (random.nextDouble() < lateShare) {
            scope.launch {
                delay(random.nextLong(LEAST_LATE, MOST_LATE))
                apply(state, order)
            }
            delay(ANSWER_MILLISECONDS)
            return OrderAnswer.UNANSWERED
        }
        return if (apply(state, order)) OrderAnswer.ACCEPTED else OrderAnswer.CONFLICT
    }

    private fun beginPass() {
        step++
        states.forEach { state ->
            val armed = state.armed ?: return@forEach
            if (armed.second == step) {
                state.map = armed.first
                state.armed = null
            }
        }
        if (states.distinctBy { it.map }.size > 1) mixedPasses++
        used += states.first().map
    }

    private fun apply(state: RankState, order: RankOrder): Boolean = when (order) {
        is RankOrder.Prepare -> prepare(state, order.version)

        is RankOrder.Arm -> arm(state, order)

        is RankOrder.Disarm -> {
            if (state.armed?.first == order.version) state.armed = null
            state.map != order.version
        }

        is RankOrder.Hold -> {
            val free = state.heldAt == null || state.heldAt == order.step.value
            val holds = free && order.step.value > step
            if (holds) state.heldAt = order.step.value
            holds
        }

        is RankOrder.Go -> {
            val held = state.heldAt == order.step.value
            if (held) state.heldAt = null
            held
        }
    }

    private fun prepare(state: RankState, version: Long): Boolean {
        if (version <= state.highest || state.armed != null) return false
        state.highest = version
        state.prepared = null
        state.preparing = version
        scope.launch {
            delay(random.nextLong(MOST_COPY_MILLISECONDS))
            if (state.preparing == version) state.prepared = version
        }
        return true
    }

    private fun arm(state: RankState, order: RankOrder.Arm): Boolean {
        val wanted = order.version to order.step.value
        if (state.armed == wanted) return true
        val fits = state.armed == null && state.prepared == order.version && order.step.value > step
        if (fits) state.armed = wanted
        return fits
    }

    private fun snapshot(state: RankState) = RankReport(
        EPOCH,
        isOpen = true,
        Step(step),
        state.map,
        state.prepared,
        state.armed?.first,
        state.heldAt?.let(::Step),
    )

    private fun indexOf(rank: KnownTarget) = ranks.indexOf(rank)

    companion object {
        const val EPOCH = 1L
        private const val RANKS = 4
        const val PASS_MILLISECONDS = 60L
        private const val LAG_MILLISECONDS = 300L
        private const val HISTORY = 20
        private const val ANSWER_MILLISECONDS = 120L
        private const val LEAST_LATE = 50L
        private const val MOST_LATE = 12_000L
        const val MOST_COPY_MILLISECONDS = 700L
    }
}
