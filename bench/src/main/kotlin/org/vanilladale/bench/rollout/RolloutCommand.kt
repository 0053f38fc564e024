package org.vanilladale.bench.rollout

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import java.nio.file.Path
import java.util.Locale
import org.vanilladale.bench.ResultFile
import org.vanilladale.bench.Spread
import org.vanilladale.bench.seedsFrom
import org.vanilladale.bench.spreadOf
import org.vanilladale.bench.writeResultFile

/** Measures rollouts of model versions on the decision code in virtual time. */
public class RolloutCommand : CliktCommand(name = "rollout") {
    private val seed by option(help = "first seed").long().default(1)
    private val seeds by option(help = "number of seeds").int().default(20)
    private val sizes by option(help = "targets of the pool").split(",")
        .default(listOf("4", "8", "16", "31"))
    private val output by option(help = "JSON result file").default("target/rollout.json")

    override fun help(context: Context): String = "rollout of a model version in turns"

    override fun run() {
        val chosen = seedsFrom(seed, seeds)
        val results = RolloutCondition.entries.flatMap { condition ->
            sizes.flatMap { size ->
                RolloutVariant.entries.flatMap { variant ->
                    chosen.map { runOf(size.toInt(), condition, variant, it) }
                }
            }
        }
        val command = "rollout --seed $seed --seeds $seeds --sizes ${sizes.joinToString(",")}"
        val file = ResultFile(command, chosen, results)
        writeResultFile(Path.of(output), file, RolloutResult.serializer())
        echo("command: $command")
        echo(table(results))
    }

    private fun runOf(
        targets: Int,
        condition: RolloutCondition,
        variant: RolloutVariant,
        seed: Long,
    ) = RolloutResult(
        targets,
        condition.code,
        variant.code,
        seed,
        RolloutWorld(targets, condition, variant, seed).run(),
    )

    private fun table(results: List<RolloutResult>): String = buildString {
        appendLine(
            "| condition | targets | variant | seconds | most away | reads at once | " +
                "refused reads | worst minute, share serving |",
        )
        appendLine("|" + "---|".repeat(COLUMNS))
        results.groupBy { Triple(it.condition, it.targets, it.variant) }.forEach { (key, runs) ->
            fun cell(digits: Int, figure: (RolloutFigures) -> Number) =
                text(spreadOf(runs.map { figure(it.figures).toDouble() }), digits)
            val cells = listOf(
                key.first,
                "${key.second}",
                key.third,
                cell(digits = 0) { it.seconds },
                cell(digits = 0) { it.mostAway },
                cell(digits = 0) { it.mostReads },
                cell(digits = 0) { it.refusedReads },
                cell(digits = 2) { it.worstMinute },
            )
            appendLine(cells.joinToString(" | ", "| ", " |"))
        }
    }

    private fun text(spread: Spread, digits: Int): String {
        fun number(value: Double) = String.format(Locale.ROOT, "%.${digits}f", value)
        return "${number(spread.median)} (${number(spread.minimum)}-${number(spread.maximum)})"
    }

    private companion object {
        const val COLUMNS = 8
    }
}
