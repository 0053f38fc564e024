package org.vanilladale.systemtests

import java.io.File
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Guards against map switches that hold steps and idle groups that exceed the memory budget. */
class RankGroupCostTest {
    @Test
    fun `a switch without faults holds no step and sends few frames`() {
        RankGroupFleet(ignoreFencing = false, listOf("north")).use { group ->
            group.awaitSwitches("north", 1)
            val frames = group.state("north", "group-frames")
            val bytes = group.state("north", "group-bytes")
            val before = group.switches("north")
            val heldBefore = group.record("north").getLong("heldSteps")
            Thread.sleep(MEASURED_MILLISECONDS)
            val switches = group.switches("north") - before
            val heldSteps = group.record("north").getLong("heldSteps") - heldBefore
            val framesEach = (group.state("north", "group-frames") - frames) / switches
            val bytesEach = (group.state("north", "group-bytes") - bytes) / switches
            val log = group.agent("north", 0).log.readText()
            val times = Regex("under term \\d+ after (\\d+) ms").findAll(log)
                .map { it.groupValues[1].toLong() }.toList().sorted()
            println("cost: $switches switches, $framesEach frames and $bytesEach bytes each")
            println("cost: decided after ms $times, held steps $heldSteps")
            expectThat(switches).isGreaterThan(0)
            expectThat(heldSteps).isEqualTo(0)
            expectThat(framesEach).isLessThan(FRAMES_PER_SWITCH)
            group.expectOneDigestInEachStep("north")
        }
    }

    @Test
    fun `an idle agent of a group of four stays within the memory budget`() {
        RankGroupFleet(ignoreFencing = false, listOf("north"), driftMilliseconds = 0).use { group ->
            // The same agent without a group shows what the group adds.
            group.fleet.startEngine("plain-0")
            val names = RankGroupFleet.ranks.map { "agent-north-$it" } + "agent-plain-0"
            val ids = names.associateWith { group.fleet.processes.getValue(it).id }
            Thread.sleep(SETTLE_MILLISECONDS)
            val before = ids.mapValues { ticks(it.value) }
            Thread.sleep(MEASURED_MILLISECONDS)
            ids.forEach { (name, id) ->
                val used = (ticks(id) - before.getValue(name)) * MILLISECONDS_PER_TICK
                val percent = used * 100.0 / MEASURED_MILLISECONDS
                val megabytes = residentKilobytes(id) / 1024
                println("cost: idle $name: $percent % of a core, $megabytes MB")
                expectThat(megabytes).isLessThan(MEGABYTES)
            }
        }
    }

    /** Processor time of a process in ticks of the kernel. */
    private fun ticks(id: Long): Long {
        val fields = File("/proc/$id/stat").readText().substringAfterLast(") ").split(" ")
        return fields[USER_TIME].toLong() + fields[SYSTEM_TIME].toLong()
    }

    private fun residentKilobytes(id: Long): Long = File("/proc/$id/status").readLines()
        .first { it.startsWith("VmRSS:") }
        .filter { it.isDigit() }
        .toLong()

    private companion object {
        const val MEASURED_MILLISECONDS = 10_000L
        const val SETTLE_MILLISECONDS = 8_000L
        const val FRAMES_PER_SWITCH = 60.0

        /** Memory that the design page allows for the control work of a node. */
        const val MEGABYTES = 128L
        const val MILLISECONDS_PER_TICK = 10L
        const val USER_TIME = 11
        const val SYSTEM_TIME = 12
    }
}
