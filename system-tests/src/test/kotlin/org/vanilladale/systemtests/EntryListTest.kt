package org.vanilladale.systemtests

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Guards against callers that are sent to entries that are dead, silent or leaving. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EntryListTest {
    private val processes = SpreadFleet()
    private val fleet = processes.fleet

    @BeforeAll
    fun start() {
        processes.start()
        awaitAllListed()
    }

    @AfterAll
    fun stop() {
        processes.close()
    }

    @Test
    fun `a killed entry leaves the list and its successor comes back`() {
        measure("killed entry left", 3.0) {
            fleet.processes.getValue("entry-0").kill()
            awaitListed("entry-0", false)
        }
        measure("restarted entry came back", 12.0) {
            processes.startEntry("entry-0")
            awaitAllListed()
        }
    }

    @Test
    fun `a leaving entry is gone from the list before it stops`() {
        val entry = fleet.processes.getValue("entry-1")
        measure("leaving entry left", 1.0) {
            entry.terminate()
            awaitListed("entry-1", false)
            expectThat(entry.alive).isEqualTo(true)
        }
        expectThat(entry.exitCodeOrNull(10)).isEqualTo(0)
        processes.startEntry("entry-1")
        awaitAllListed()
    }

    @Test
    fun `a paused entry leaves the list and comes back`() {
        val entry = fleet.processes.getValue("entry-2")
        // The default silence of 3 s, one heartbeat, a dial of 2 s and the spread.
        measure("paused entry left", 8.0) {
            entry.pause()
            awaitListed("entry-2", false)
        }
        measure("resumed entry came back", 12.0) {
            entry.resume()
            awaitAllListed()
        }
    }

    @Test
    fun `a process that was paused and replaced meanwhile stops and doesn't come back`() {
        processes.startEntry("entry-9")
        awaitListed("entry-9", true)
        // From 10 s after its start on a process yields to a higher incarnation of its VM.
        Thread.sleep(11_000)
        val paused = fleet.processes.getValue("entry-9")
        paused.pause()
        processes.startEntry("successor", vm = "entry-9")
        awaitListed("successor", true)
        paused.resume()
        expectThat(paused.exitCodeOrNull(15)).isEqualTo(0)
        awaitListed("successor", true)
        awaitListed("entry-9", false)
        fleet.processes.getValue("successor").terminate()
        awaitListed("successor", false)
    }

    @Test
    fun `the list starts with the data centre of the caller`() {
        awaitAllListed()
        val own = processes.listed("entry-0").first().getString("dataCentre")
        expectThat(own).isEqualTo("lodz-0")
        listOf("lodz-1", "lodz-2").forEach { caller ->
            val first = processes.listed("entry-0", caller).first().getString("dataCentre")
            expectThat(first).isEqualTo(caller)
        }
    }

    private fun awaitAllListed() = processes.entries.forEach { awaitListed(it, true) }

    private fun awaitListed(entry: String, listed: Boolean) {
        fleet.await("$entry listed is $listed") {
            (processes.entries - entry).all { processes.isListed(it, entry) == listed }
        }
    }

    private fun measure(what: String, seconds: Double, block: () -> Unit) {
        val startedAt = System.nanoTime()
        block()
        val taken = (System.nanoTime() - startedAt) / 1e9
        println("membership: $what after $taken s")
        expectThat(taken).isLessThan(seconds)
    }
}
