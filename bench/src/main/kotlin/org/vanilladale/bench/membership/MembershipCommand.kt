package org.vanilladale.bench.membership

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int

/** Times to the right decision about a target, and false suspicions, in virtual time. */
public class MembershipCommand : CliktCommand("membership") {
    private val seeds by option(help = "Runs with seeds 1 to this number").int().default(200)

    override fun help(context: Context): String =
        "Time from a fault to the entry's decision, and false suspicions under pauses"

    override fun run() {
        echo(
            "| connections entry, agent | fault | request after | abandoned p50, max | " +
                "suspected p50, max | usable again p50, max |",
        )
        echo("|---|---|---|---|---|---|")
        SIZES.forEach { size ->
            listOf(LinkFault.Kind.VM_DEATH, LinkFault.Kind.SILENT_CONNECTION).forEach { kind ->
                listOf(null, REQUEST_AFTER).forEach { echo(faultRow(size, kind, it)) }
            }
        }
        echo("\n| connections entry, agent | pause | request after | abandoned | suspected |")
        echo("|---|---|---|---|---|")
        SIZES.forEach { size ->
            PAUSES.forEach { pause ->
                listOf(null, REQUEST_AFTER).forEach { echo(pauseRow(size, pause, it)) }
            }
        }
    }

    private fun faultRow(size: Pair<Int, Int>, kind: LinkFault.Kind, request: Long?): String {
        val outcomes = run(size, kind, FAULT_MILLISECONDS, request)
        val until = if (kind == LinkFault.Kind.VM_DEATH) FAULT_MILLISECONDS else 0
        return "| ${size.first}, ${size.second} | ${kind.name.lowercase()} | ${request ?: "-"} | " +
            "${times(outcomes) { it.abandonedAt }} | ${times(outcomes) { it.suspectedAt }} | " +
            "${times(outcomes, until) { it.reopenedAt }} |"
    }

    private fun pauseRow(size: Pair<Int, Int>, pause: Long, request: Long?): String {
        val outcomes = run(size, LinkFault.Kind.PAUSE, pause, request)
        val abandoned = outcomes.count { (_, outcome) -> outcome.abandonedAt != null }
        val suspected = outcomes.count { (_, outcome) -> outcome.suspectedAt != null }
        return "| ${size.first}, ${size.second} | $pause | ${request ?: "-"} | " +
            "$abandoned of $seeds | $suspected of $seeds |"
    }

    /** Returns the start of the fault and the outcome of each seed. */
    private fun run(
        size: Pair<Int, Int>,
        kind: LinkFault.Kind,
        milliseconds: Long,
        request: Long?,
    ): List<Pair<Long, LinkOutcome>> = (1..seeds).map { seed ->
        // The steps of the model are 5 ms; the fault falls anywhere in a heartbeat interval.
        val from = SETTLED_MILLISECONDS + seed * SPREAD_MILLISECONDS / seeds / STEP * STEP
        val fault = LinkFault(kind, from, from + milliseconds)
        val model = LinkModel(size.first, size.second, fault, request?.let { from + it }, seed)
        from to model.run(from + milliseconds + AFTER_MILLISECONDS)
    }

    private fun times(
        outcomes: List<Pair<Long, LinkOutcome>>,
        until: Long = 0,
        at: (LinkOutcome) -> Long?,
    ): String {
        val times = outcomes
            .mapNotNull { (from, outcome) -> at(outcome)?.let { it - from - until } }
            .sorted()
        if (times.isEmpty()) return "never"
        return "${times[times.size / 2]}, ${times.last()} (${times.size} of $seeds)"
    }

    private companion object {
        /** Today, two sizes between, and the plan; 1 and 1 stand for the interval of 1 s. */
        val SIZES = listOf(1 to 1, 22 to 21, 108 to 93, 216 to 93, 432 to 186)
        val PAUSES = listOf(1_000L, 2_000L, 5_000L, 10_000L, 30_000L)
        const val REQUEST_AFTER = 500L
        const val FAULT_MILLISECONDS = 90_000L
        const val SETTLED_MILLISECONDS = 150_000L
        const val SPREAD_MILLISECONDS = 41_000L
        const val AFTER_MILLISECONDS = 20_000L
        const val STEP = 5L
    }
}
