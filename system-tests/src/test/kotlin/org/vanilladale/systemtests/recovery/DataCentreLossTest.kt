package org.vanilladale.systemtests.recovery

import kotlin.concurrent.thread
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Guards against callers that stay without answers when a data centre ends at one moment. */
class DataCentreLossTest {
    private class Sample(val at: Long, val work: Map<FleetTarget, Int>)

    private val tokens = 150
    private val processes = RecoveryFleet(Integer.getInteger("recovery.entries", 1), tokens)
    private val history = RequestHistory()
    private val samples = mutableListOf<Sample>()
    private val lost = "lodz-2"

    @Volatile
    private var sampling = true

    @AfterEach
    fun stop() {
        sampling = false
        processes.close()
    }

    @Test
    fun `callers get answers again after the loss of a data centre and load returns to it`() {
        processes.start()
        val revision = processes.publish()
        processes.fleet.await("revision $revision") { isInForce(revision) }
        processes.setServiceMode("down")
        processes.setServiceDelay(ORDER_MILLISECONDS)
        val seed = java.lang.Long.getLong("recovery.seed", 1)
        val load = RecoveryLoad(history, processes.addresses(), seed, tokens)
        load.start(LoadKind.LOOKUP, processes.dataCentres, count = 2, pause = 30)
        load.start(LoadKind.STREAM, processes.dataCentres, count = 3, pause = 100)
        load.start(LoadKind.ORDER, processes.dataCentres, count = 2, pause = 40)
        val sampler = thread { sample() }
        Thread.sleep(STEADY_MILLISECONDS)
        val killedAt = history.now()
        processes.killDataCentre(lost)
        Thread.sleep(DOWN_MILLISECONDS)
        val returnedAt = history.now()
        processes.restartDataCentre(lost)
        // The start of a program depends on the machine; what follows is the fleet's own time.
        val started = elapsed(returnedAt) { processes.areRunning() }
        val startedAt = returnedAt + started
        val learned = elapsed(startedAt) { isInForce(revision) }
        val listed = elapsed(startedAt) { isListed() }
        val ready = elapsed(startedAt) { processes.entries.values.all(processes::isReady) }
        Thread.sleep(Integer.getInteger("recovery.returnMilliseconds", 6_000).toLong())
        sampling = false
        sampler.join()
        load.stop()
        println(
            "recovery: returned programs answer after $started ms, from then tables at all " +
                "$learned ms, listed $listed ms, ready $ready ms, " +
                "load even ${evenAfter(startedAt)} ms",
        )
        report(killedAt, returnedAt)
        val check = HistoryCheck(history.events, processes.executions())
        expectThat(check.contradictions()).isEmpty()
        expectThat(check.unanswered(LoadKind.LOOKUP)).isEmpty()
        expectThat(check.unanswered(LoadKind.STREAM)).isEmpty()
        // Orders bound to the lost target may stay unknown; the others end with an answer.
        expectThat(check.unanswered(LoadKind.ORDER)).all {
            get { this is HistoryEvent.Unknown }.isEqualTo(true)
        }
        val lastFailure = check.lastFailureOrNull(killedAt..returnedAt) ?: killedAt
        expectThat(lastFailure - killedAt).isLessThan(SECONDS_MILLISECONDS)
        expectThat(learned).isLessThan(SECONDS_MILLISECONDS)
    }

    private fun report(killedAt: Long, returnedAt: Long) {
        val check = HistoryCheck(history.events, processes.executions())
        val down = killedAt..returnedAt
        LoadKind.entries.forEach { kind ->
            val failures = check.failures(kind, down)
            val sent = check.sent(kind, down)
            val share = failures.values.sum().toDouble() / sent.coerceAtLeast(1)
            println(
                "recovery: ${kind.text} while down: $sent sent, failed ${"%.4f".format(share)} " +
                    "$failures, longest wait ${check.waits(kind, down).maxOrNull()} ms, " +
                    "before ${check.waits(kind, 0 until killedAt).maxOrNull()} ms, " +
                    "after the return ${check.failures(kind, returnedAt..Long.MAX_VALUE)}",
            )
        }
        println(
            "recovery: last failure ${check.lastFailureOrNull(
                down,
            )?.minus(killedAt)} ms after the " +
                "loss; worst first piece of a stream " +
                "${check.firstPieces(LoadKind.STREAM, 0 until killedAt).maxOrNull()} ms before, " +
                "${check.firstPieces(LoadKind.STREAM, down).maxOrNull()} ms while down; " +
                "orders unknown ${check.unknownShare(LoadKind.ORDER)} of all, " +
                "${check.unanswered(LoadKind.ORDER).size} of ${check.wishes(LoadKind.ORDER)}",
        )
        println("recovery: retries ${retries()}")
        samples.zipWithNext().forEach { (from, to) ->
            val rates = to.work.map { (target, count) ->
                "${target.name} ${(count - (from.work[target] ?: 0)).coerceAtLeast(0)}"
            }
            val sent = check.sent(LoadKind.LOOKUP, from.at until to.at) +
                check.sent(LoadKind.ORDER, from.at until to.at)
            println("recovery: work at ${(to.at - killedAt) / 1_000.0} s: $sent sent, $rates")
        }
    }

    /** Time until the returned service gets three quarters of the mean work over 3 s; or null. */
    private fun evenAfter(startedAt: Long): Long? = samples.filter { it.at >= startedAt }
        .windowed(EVEN_SAMPLES + 1)
        .firstOrNull { window ->
            val got = processes.targets.filter { !it.isModel }.associateWith {
                window.last().work.getValue(it) - window.first().work.getValue(it)
            }
            val others = got.filterKeys { it.dataCentre != lost }.values.average()
            got.entries.single { it.key.dataCentre == lost }.value >= EVEN_SHARE * others
        }
        ?.last()?.at?.minus(startedAt)

    private fun retries(): Map<String, Double> = processes.entries.values.associateWith {
        processes.fleet.metric("operator-$it", "vanilladale_retries_total")
    }

    private fun sample() {
        while (sampling) {
            samples += Sample(history.now(), processes.work())
            Thread.sleep(SAMPLE_MILLISECONDS)
        }
    }

    private fun isInForce(revision: Long) = processes.revisions().values.all { it == revision }

    /** Every entry lists every entry. */
    private fun isListed(): Boolean = processes.entries.values.all { entry ->
        processes.listed(entry).containsAll(processes.addresses())
    }

    private fun elapsed(from: Long, condition: () -> Boolean): Long {
        processes.fleet.await("recovery", condition)
        return history.now() - from
    }

    private companion object {
        const val STEADY_MILLISECONDS = 6_000L
        const val DOWN_MILLISECONDS = 8_000L
        const val SAMPLE_MILLISECONDS = 1_000L
        const val EVEN_SAMPLES = 3
        const val EVEN_SHARE = 0.75
        const val ORDER_MILLISECONDS = 20L

        /** The design's bound for a configuration change; failures have to end within it too. */
        const val SECONDS_MILLISECONDS = 16_000L
    }
}
