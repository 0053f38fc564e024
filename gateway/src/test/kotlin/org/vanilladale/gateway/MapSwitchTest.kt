package org.vanilladale.gateway

import kotlin.random.Random
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.groupswitch.CommandAnswer
import org.vanilladale.core.groupswitch.RankCommand
import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue

/**
 * Checks that all ranks use the same map in every pass, and that no group stays held, when commands
 * are lost or delayed and processes pause.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class MapSwitchTest {
    private val maps = listOf(ExpertMap.evenly(4, 4, 8))

    private fun TestScope.createSwitch(
        group: SimulatedGroup,
        port: RankPort,
        random: Random,
        holder: Int,
    ) = MapSwitch(
        port,
        group.ranks,
        SimulatedGroup.EPOCH,
        group.ranks[holder],
        { Timestamp.fromEpochMilliseconds(currentTime) },
        { above -> maxOf(currentTime * 1_000, above + 1) + random.nextLong(1_000) },
    ) { maps }

    /** Pauses for up to six seconds before some commands, like a process that is frozen. */
    private class PausingPort(private val port: RankPort, private val random: Random) :
        RankPort by port {
        override suspend fun sendCommand(
            rank: KnownTarget,
            command: RankCommand,
            epoch: Long,
        ): CommandAnswer {
            if (random.nextInt(30) == 0) delay(random.nextLong(6_000))
            return port.sendCommand(rank, command, epoch)
        }
    }

    private fun simulate(seed: Int, lateShare: Double, movers: Int): SimulatedGroup {
        lateinit var group: SimulatedGroup
        runTest {
            val random = Random(seed)
            group = SimulatedGroup(backgroundScope, random, lateShare) { currentTime }
            backgroundScope.launch { group.run() }
            delay(500)
            val jobs = List(movers) { mover ->
                val port = PausingPort(group, random)
                launch {
                    while (currentTime < 60_000) {
                        val switch = createSwitch(group, port, random, mover % group.ranks.size)
                        val result = switch.switchTo(maps, random.nextLong(600))
                        if (result == SwitchResult.UNSETTLED) switch.recover()
                        delay(random.nextLong(1_000))
                    }
                }
            }
            jobs.forEach { it.join() }
            // All delayed commands have been executed, so the next leader can recover the group.
            delay(15_000)
            val last = createSwitch(group, group, random, 0)
            var tries = 0
            while (!last.recover() && tries++ < 50) delay(500)
            delay(1_000)
            val passes = group.passes
            delay(2_000)
            expectThat(group.passes).describedAs("passes go on, seed $seed").isGreaterThan(passes)
        }
        return group
    }

    @Test
    fun `a single mover switches healthy ranks repeatedly`() {
        val group = simulate(seed = 1, lateShare = 0.0, movers = 1)
        expectThat(group.mixedPasses).isEqualTo(0)
        expectThat(group.usedVersions.size).isGreaterThan(10)
    }

    @Test
    fun `no pass mixes two maps despite late commands, pauses and concurrent movers`() {
        var switches = 0
        for (seed in 1..120) {
            val group = simulate(seed, lateShare = 0.05 + 0.1 * (seed % 5), movers = 1 + seed % 3)
            expectThat(group.mixedPasses).describedAs("seed $seed").isEqualTo(0)
            switches += group.usedVersions.size
        }
        expectThat(switches).describedAs("switches of all seeds").isGreaterThan(100)
    }

    @Test
    fun `a switch whose process dies with the group held is ended by the next one`() = runTest {
        val random = Random(1)
        val group = SimulatedGroup(backgroundScope, random, 0.0) { currentTime }
        backgroundScope.launch { group.run() }
        delay(500)
        val dying = launch { createSwitch(group, DyingPort(group), random, 2).switchTo(maps, 0) }
        delay(4_000)
        dying.cancel()
        val held = group.passes
        delay(1_000)
        expectThat(group.passes).describedAs("the group is held").isEqualTo(held)
        expectThat(createSwitch(group, group, random, 0).recover()).isTrue()
        delay(1_000)
        expectThat(group.passes).isGreaterThan(held)
        expectThat(group.mixedPasses).isEqualTo(0)
    }

    /** Never answers from the second arm command on, as if the process had died. */
    private class DyingPort(private val port: RankPort) : RankPort by port {
        private var armed = 0

        override suspend fun sendCommand(
            rank: KnownTarget,
            command: RankCommand,
            epoch: Long,
        ): CommandAnswer {
            if (command is RankCommand.Arm && ++armed > 1) delay(Long.MAX_VALUE)
            return port.sendCommand(rank, command, epoch)
        }
    }
}
