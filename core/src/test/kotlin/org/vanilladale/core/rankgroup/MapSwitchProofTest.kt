package org.vanilladale.core.rankgroup

import org.junit.jupiter.api.Test
import org.vanilladale.schema.ArmedMap
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Step
import org.vanilladale.schema.Term
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class MapSwitchProofTest {
    private class Counts(val runs: List<RankGroupSimulation>) {
        val broken = runs.count { it.brokenSteps > 0 }
        val stuck = runs.count { !it.recoveredWithin(RECOVERY_MILLISECONDS) }
        val framesAfterLease = runs.sumOf { it.framesAfterLease }

        override fun toString() = "broken $broken/${runs.size}, stuck $stuck, frames after lease " +
            "$framesAfterLease, switches ${runs.sumOf { it.completedAt.size }}, steps " +
            "${runs.sumOf { it.history.size }}, held ticks ${runs.sumOf { it.heldTicks }}, " +
            "whole maps asked for ${runs.sumOf { it.fullMapsRequested }}"
    }

    private fun counts(
        seeds: IntRange,
        omitted: OmittedRule,
        fencing: Boolean,
        ranks: (Int) -> Int,
    ) = Counts(
        seeds.map { seed ->
            RankGroupSimulation(
                SimulationSetup(seed, ranks(seed), fencing, omitted, FAULT_PERIOD_MILLISECONDS),
            ).run(FAULT_PERIOD_MILLISECONDS + RECOVERY_MILLISECONDS)
        },
    ).also { println("rank group: fencing=$fencing without $omitted: $it") }

    @Test
    fun `each step runs one map under faults and each missing rule is detected`() {
        listOf(true, false).forEach { fencing ->
            val found = OmittedRule.entries.associateWith { omitted ->
                val seeds = if (omitted == OmittedRule.NOTHING) COMPLETE_PROTOCOL_SEEDS else SEEDS
                counts(1..seeds, omitted, fencing) { if (it % 2 == 0) 4 else 8 }
            }
            val complete = found.getValue(OmittedRule.NOTHING)
            expectThat(complete.broken).isEqualTo(0)
            expectThat(complete.stuck).isEqualTo(0)
            expectThat(complete.framesAfterLease).isEqualTo(0)
            expectThat(found.getValue(OmittedRule.COMPARE_VERSION_ONLY).broken).isGreaterThan(0)
            expectThat(found.getValue(OmittedRule.READ_BACK_AFTER_RESTART).broken).isGreaterThan(0)
            expectThat(found.getValue(OmittedRule.ABORT_BY_HOLDER_ONLY).broken).isGreaterThan(0)
            expectThat(found.getValue(OmittedRule.COMPARE_BASE_AND_RESULT).broken).isGreaterThan(0)
            expectThat(found.getValue(OmittedRule.COMPARE_BASE).broken).isEqualTo(0)
            expectThat(found.getValue(OmittedRule.LEASE_RECHECK).framesAfterLease).isGreaterThan(0)
            if (!fencing) {
                expectThat(found.getValue(OmittedRule.WAIT_AFTER_RESTART).broken).isGreaterThan(0)
            }
        }
    }

    @Test
    fun `32 ranks run one map per step under faults`() {
        listOf(true, false).forEach { fencing ->
            val found = counts(1..12, OmittedRule.NOTHING, fencing) { 32 }
            expectThat(found.broken).isEqualTo(0)
            expectThat(found.stuck).isEqualTo(0)
        }
    }

    /**
     * Returns the number of broken runs out of 200, each with a late command that reaches the
     * engine of rank 0 at a different time.
     */
    private fun brokenByLateHold(
        omitted: OmittedRule,
        fencing: Boolean,
        overwrites: Boolean,
    ): Int = (1L..400L step 2).count { at ->
        val stale = ArmedMap(Term(0), Digest.parse("v1-stale"), Step(at / 10 + 30))
        val setup = SimulationSetup(
            1,
            4,
            fencing,
            omitted,
            faultsUntil = 0,
            lateHold = LateHold(at, stale, overwrites),
        )
        RankGroupSimulation(setup).run(6_000).brokenSteps > 0
    }

    @Test
    fun `a map of an older term is not taken for the map of a later switch`() {
        val rules =
            listOf(
                OmittedRule.NOTHING,
                OmittedRule.COMPARE_TERM_ONLY,
                OmittedRule.COMPARE_VERSION_ONLY,
            )
        val broken = rules.associateWith { brokenByLateHold(it, false, overwrites = false) }
        println("rank group: map of an older term at one engine, broken of 200: $broken")
        expectThat(broken.getValue(OmittedRule.NOTHING)).isEqualTo(0)
        expectThat(broken.getValue(OmittedRule.COMPARE_VERSION_ONLY)).isGreaterThan(0)
    }

    /**
     * Shows a limit of the protocol: an engine that ignores fencing numbers must not get a command
     * that is older than the longest lease. An engine that keeps fencing numbers rejects it.
     */
    @Test
    fun `a command older than the longest lease is rejected only by an engine that fences`() {
        val broken = listOf(true, false).associateWith { fencing ->
            brokenByLateHold(OmittedRule.NOTHING, fencing, overwrites = true)
        }
        println("rank group: command older than the longest lease, broken of 200: $broken")
        expectThat(broken.getValue(true)).isEqualTo(0)
        expectThat(broken.getValue(false)).isGreaterThan(0)
    }

    @Test
    fun `a preload that outlasts the lease completes because the lease is renewed`() {
        val run = RankGroupSimulation(
            SimulationSetup(1, 8, true, faultsUntil = 0, preloadMilliseconds = 5_000),
        ).run(7_000)
        expectThat(run.completedAt.size).isEqualTo(1)
        expectThat(run.framesAfterLease).isEqualTo(0)
        expectThat(run.brokenSteps).isEqualTo(0)
    }

    @Test
    fun `a switch takes 9 messages per rank and holds no step without faults`() {
        val sizes = listOf(4, 8, 16, 32)
        val runs = sizes.map { ranks ->
            val setup = SimulationSetup(
                1,
                ranks,
                keepsFencing = true,
                faultsUntil = 0,
                coordinatorCount = 1,
                experts = 256,
                measureBytes = true,
            )
            RankGroupSimulation(setup).runFirstSwitch()
        }
        sizes.zip(runs).forEach { (ranks, run) ->
            println(
                "rank group: $ranks ranks, ${run.frames} messages, ${run.bytes} bytes, " +
                    "${run.heldTicks} held ticks, switch in ${run.completedAt.first()} ms",
            )
            expectThat(run.frames).isEqualTo(9L * ranks)
            expectThat(run.heldTicks).isEqualTo(0)
        }
        val size = sizes.average()
        val slope = sizes.zip(runs).sumOf { (ranks, run) -> (ranks - size) * run.bytes } /
            sizes.sumOf { (it - size) * (it - size) }
        val offset = runs.map { it.bytes }.average() - slope * size
        println("rank group: bytes = %.0f x ranks %+.0f".format(slope, offset))
        expectThat(slope).isLessThan(1_500.0)
    }

    private companion object {
        const val SEEDS = 300

        /** Number of seeds with all rules enabled; `-Drankgroup.seeds=` runs more of them. */
        val COMPLETE_PROTOCOL_SEEDS: Int = Integer.getInteger("rankgroup.seeds", SEEDS)
        const val FAULT_PERIOD_MILLISECONDS = 5_000L
        const val RECOVERY_MILLISECONDS = 7_000L
    }
}
