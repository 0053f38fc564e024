package org.vanilladale.bench.rollout

import org.vanilladale.bench.randomStream
import org.vanilladale.bench.routing.VirtualTime
import org.vanilladale.core.rollout.RolloutEvent
import org.vanilladale.core.rollout.RolloutPlan
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.ModelName
import org.vanilladale.schema.ModelVersion
import org.vanilladale.schema.Pool
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.PoolType
import org.vanilladale.schema.Revision
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetRollout

/** One pool in virtual time; statements reach the other agents late and some not at all. */
internal class RolloutWorld(
    private val targets: Int,
    private val condition: RolloutCondition,
    private val variant: RolloutVariant,
    private val seed: Long,
    private val model: RolloutModel = RolloutModel(),
) {
    private val time = VirtualTime()
    private val store = ModelledStore(model.storeReads)
    private val faults = randomStream(seed, "faults")
    private val network = randomStream(seed, "network")
    private val served = mutableListOf<Double>()
    private var mostAway = 0
    private val agents = List(targets) { number ->
        ModelledAgent(
            TargetId.parse("t-$number"),
            model,
            time,
            store,
            randomStream(seed, "agent $number"),
            ::relay,
        )
    }

    /** Runs until all reachable targets are done and returns the figures. */
    fun run(): RolloutFigures {
        agents.forEach { it.start(plan(1), version(1)) }
        runUntil(WARM_UP)
        change()
        var end = WARM_UP
        while (end < WARM_UP + LIMIT) {
            end += SAMPLE
            runUntil(end)
            served += agents.count { it.serves } / targets.toDouble()
            if (end > WARM_UP + SHORTEST && isDone()) break
        }
        val seconds = if (isDone()) (end - WARM_UP) / MILLISECONDS_PER_SECOND else -1.0
        return RolloutFigures(seconds, mostAway, store.mostRunning, store.refused, worstMinute())
    }

    private fun isDone() = agents.all { it.isDead || !it.isPaused && it.isDone }

    private fun change() {
        when (condition) {
            RolloutCondition.EDIT -> publish(2)

            RolloutCondition.FAULTS -> {
                publish(2)
                val order = plan(2).units.map { unit -> agents.first { it.target in unit } }
                order[1].isDead = true
                after(faults.nextLong(EARLIEST_PAUSE, LATEST_PAUSE)) { order[0].pause() }
            }

            RolloutCondition.RETURN -> agents.take(
                (targets + DATA_CENTRES - 1) / DATA_CENTRES,
            ).forEach {
                // The random part is the spread of the starts of the VMs.
                it.isDead = true
                after(model.tickMilliseconds + faults.nextLong(START_SPREAD)) {
                    it.isDead = false
                    it.start(plan(1), null)
                }
            }

            RolloutCondition.REDIRECT -> {
                publish(2)
                after(REDIRECT) { publish(REDIRECTED) }
            }
        }
    }

    private fun publish(number: Int) {
        val plan = plan(number)
        agents.forEach { agent ->
            after(faults.nextLong(model.spreadMilliseconds)) { agent.accept(plan) }
        }
    }

    private fun relay(statement: TargetRollout) {
        agents.filter { it.target != statement.target }.forEach { other ->
            val chance = network.nextInt(WHOLE_PERCENT)
            val delay = network.nextLong(LATENCY)
            val isLate = chance in model.lossPercent until model.lossPercent + model.latePercent
            if (chance >= model.lossPercent) {
                after(if (isLate) delay * LATE_FACTOR else delay) {
                    other.apply(RolloutEvent.ProgressReceived(statement))
                }
            }
        }
        // The state of the sender is in place when the event that caused the statement has ended.
        after(0) { mostAway = maxOf(mostAway, agents.count { it.isAway }) }
    }

    private fun worstMinute(): Double = served.windowed(MINUTE_SAMPLES.coerceAtMost(served.size))
        .minOf { it.average() }

    private fun runUntil(milliseconds: Long) {
        time.runUntil(milliseconds * VirtualTime.MICROSECONDS_PER_MILLISECOND)
    }

    private fun after(milliseconds: Long, run: () -> Unit) {
        time.after(milliseconds * VirtualTime.MICROSECONDS_PER_MILLISECOND, run)
    }

    private fun version(number: Int) = ModelVersion.parse("v$number")

    private fun plan(number: Int): RolloutPlan {
        val rows = agents.indices.map {
            PoolTarget(
                TargetId.parse("t-$it"),
                SocketAddressText.parse("10.0.0.$it:7100"),
                DataCentreName.parse("data-centre-${it % DATA_CENTRES}"),
            )
        }
        val pool = Pool(
            PoolName.parse("pool-$seed"),
            PoolType.MODEL,
            rows,
            ModelName.parse("model"),
            version = version(number),
            loadSharePercent = variant.loadSharePercent,
        )
        return checkNotNull(RolloutPlan.fromPoolOrNull(pool, Revision(number.toLong())))
    }

    private companion object {
        const val WARM_UP = 60_000L
        const val SAMPLE = 1_000L
        const val MINUTE_SAMPLES = 60
        const val LIMIT = 7_200_000L
        const val REDIRECT = 45_000L
        const val REDIRECTED = 3
        const val DATA_CENTRES = 3
        const val START_SPREAD = 5_000L
        const val EARLIEST_PAUSE = 5_000L
        const val LATEST_PAUSE = 60_000L

        /** Every change has reached each agent by then. */
        const val SHORTEST = 80_000L
        const val LATENCY = 100L
        const val LATE_FACTOR = 50L
        const val WHOLE_PERCENT = 100
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
