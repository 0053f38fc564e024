package org.vanilladale.systemtests.recovery

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull

/** Guards against requests that a planned replacement of all entries and agents cuts off. */
class RollingReplacementTest {
    private val tokens = 250

    // The entries are replaced faster than in operation; their lists are kept shorter to match.
    private val processes = RecoveryFleet(
        entriesEach = 1,
        tokens,
        targetsIn = Integer.getInteger("recovery.dataCentres", 2),
        entryFields = ", \"keepEntriesMilliseconds\": 3000",
    )
    private val history = RequestHistory()

    @AfterEach
    fun stop() {
        processes.close()
    }

    @Test
    fun `a rolling replacement of all programs cuts off no request and runs no order twice`() {
        processes.start()
        val before = processes.addresses()
        processes.setServiceDelay(ORDER_MILLISECONDS)
        val load = RecoveryLoad(history, before, java.lang.Long.getLong("recovery.seed", 1), tokens)
        load.start(LoadKind.LOOKUP, processes.dataCentres, count = 1, pause = 30)
        load.start(LoadKind.STREAM, processes.dataCentres, count = 2, pause = 200)
        load.start(LoadKind.ORDER, processes.dataCentres, count = 2, pause = 40)
        Thread.sleep(1_000)
        // One target of each pool at a time; the first pair moves to new addresses.
        processes.targets.groupBy { it.dataCentre }.values
            .forEachIndexed { index, pair -> replace(pair, moves = index == 0) }
        processes.entries.keys.toList().forEach(::replaceEntry)
        processes.awaitReady()
        Thread.sleep(KEEP_MILLISECONDS)
        load.stop()
        report()
        val check = HistoryCheck(history.events, processes.executions())
        expectThat(check.contradictions()).isEmpty()
        LoadKind.entries.forEach { kind ->
            expectThat(check.unanswered(kind).filter { it !is HistoryEvent.Unknown }).isEmpty()
        }
        expectThat(check.unanswered(LoadKind.LOOKUP)).isEmpty()
        expectThat(check.unanswered(LoadKind.STREAM)).isEmpty()
        expectThat(check.interruptions()).isEqualTo(0)
        expectThat(check.unknownShare(LoadKind.ORDER)).isLessThan(0.01)
        expectThat(load.knownEntries() - processes.addresses().toSet()).isEmpty()
    }

    private fun replace(targets: List<FleetTarget>, moves: Boolean) {
        val startedAt = history.now()
        val old = targets.associateWith { processes.process(it.agent) }
        old.values.forEach { it.terminate() }
        if (moves) {
            targets.forEach {
                processes.fleet.movePort(it.agent)
                processes.fleet.movePort("agent-operator-${it.name}")
                processes.startAgent(it)
            }
            processes.publish()
        }
        old.forEach { (target, process) ->
            expectThat(process.exitCodeOrNull(STOP_SECONDS)).isNotNull().isEqualTo(0)
            println("recovery: ${target.agent} stopped after ${history.now() - startedAt} ms")
            if (!moves) processes.startAgent(target)
        }
        processes.awaitReady()
        println("recovery: they serve again after ${history.now() - startedAt} ms")
    }

    private fun replaceEntry(vm: String) {
        val startedAt = history.now()
        val old = processes.process(processes.entries.getValue(vm))
        old.terminate()
        processes.startSuccessor(vm)
        expectThat(old.exitCodeOrNull(STOP_SECONDS)).isNotNull().isEqualTo(0)
        println("recovery: $vm stopped after ${history.now() - startedAt} ms")
        processes.awaitReady()
        println("recovery: its successor is ready after ${history.now() - startedAt} ms")
    }

    private fun report() {
        val check = HistoryCheck(history.events, processes.executions())
        LoadKind.entries.forEach { kind ->
            val ended = check.unanswered(kind).map { it.toString() }
            println(
                "recovery: ${kind.text}: ${check.wishes(kind)} wishes, ${check.sent(kind)} sent, " +
                    "not answered at once ${check.failures(kind)}, unanswered $ended",
            )
        }
        val share = check.unknownShare(LoadKind.ORDER)
        println("recovery: ${check.interruptions()} interrupted streams, orders unknown $share")
        check.contradictions().forEach { println("recovery: $it") }
    }

    private companion object {
        const val STOP_SECONDS = 20L
        const val ORDER_MILLISECONDS = 60L

        /** Longer than the lists of entries are kept. */
        const val KEEP_MILLISECONDS = 4_000L
    }
}
