package org.vanilladale.core.crash

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/**
 * Counts the targets that crash because of one request and the requests beside it that are wrongly
 * convicted, with all steps of the mechanism in section 7.6 of docs/design.md and with steps left
 * out.
 */
class CrashHistoryTest {
    private fun run(
        name: String,
        mechanism: CrashMechanism,
        repeatAfter: Long,
        copies: Int = 1,
    ): List<CrashModel> {
        val models = (1..SEEDS).map { CrashModel(it, mechanism, repeatAfter, copies).run() }
        val totals = listOf(
            "targets lost ${models.sumOf { it.crashes }}",
            "most in a seed ${models.maxOf { it.crashes }}",
            "neighbours convicted ${models.sumOf { it.neighboursConvicted.size }}",
            "of ${SEEDS * CrashModel.NEIGHBOURS}",
            "run isolated ${models.sumOf { it.isolatedNeighbours }} times",
        )
        println("crash: $name: " + totals.joinToString())
        return models
    }

    @Test
    fun `a crashing request costs two targets and no neighbour is convicted`() {
        val models = run("all steps, repeat after 200 ms", CrashMechanism(), 200)
        expectThat(models.maxOf { it.crashes }).isEqualTo(2)
        expectThat(models.sumOf { it.neighboursConvicted.size }).isEqualTo(0)
        expectThat(models.count { it.crashingRefused > 0 }).isEqualTo(SEEDS)
        expectThat(models.minOf { it.neighboursCompleted.size }).isEqualTo(CrashModel.NEIGHBOURS)
    }

    /** Guards against a third crash when a caller sends the same request twice at once. */
    @Test
    fun `two copies sent at once cost only two targets with both steps against overlap`() {
        val both = run("two copies", CrashMechanism(), 1, copies = 2)
        expectThat(both.maxOf { it.crashes }).isEqualTo(2)
        expectThat(both.sumOf { it.neighboursConvicted.size }).isEqualTo(0)
        val unsettled = run("two copies, not settled", CrashMechanism(settles = false), 1, 2)
        expectThat(unsettled.maxOf { it.crashes }).isGreaterThan(2)
        val running = run("two copies, not withdrawn", CrashMechanism(withdraws = false), 1, 2)
        expectThat(running.maxOf { it.crashes }).isGreaterThan(2)
    }

    @Test
    fun `more targets crash or neighbours are convicted if a step is left out`() {
        val none = run("no decisions", CrashMechanism(decides = false), 200)
        expectThat(none.maxOf { it.crashes }).isGreaterThan(2)
        val shared = run("suspects not isolated", CrashMechanism(isolates = false), 200)
        expectThat(shared.sumOf { it.neighboursConvicted.size }).isGreaterThan(0)
    }

    /** Guards against neighbours that have to run isolated until their records expire. */
    @Test
    fun `clearing ends the isolated runs of neighbours`() {
        val cleared = run("all steps", CrashMechanism(), 200).sumOf { it.isolatedNeighbours }
        val kept = run("nothing cleared", CrashMechanism(clears = false), 200)
        expectThat(kept.sumOf { it.isolatedNeighbours }).isGreaterThan(cleared)
    }

    /**
     * Guards against further crashes when a retry arrives before the crash reports. An entry that
     * has not received a report does not know the suspect, so the settling time before an isolated
     * run and the refusal by the agents have to limit the number of crashes.
     */
    @Test
    fun `retries that overtake the reports cost more targets without both steps`() {
        val early = run("repeat after 1 ms", CrashMechanism(), 1)
        expectThat(early.maxOf { it.crashes }).isEqualTo(2)
        val neither = CrashMechanism(settles = false, withdraws = false)
        expectThat(run("repeat after 1 ms, neither step", neither, 1).maxOf { it.crashes })
            .isGreaterThan(2)
        val lossy = CrashMechanism(retransmits = false, settles = false, withdraws = false)
        expectThat(run("reports lost for good, neither step", lossy, 200).maxOf { it.crashes })
            .isGreaterThan(2)
    }

    private companion object {
        const val SEEDS = 200
    }
}
