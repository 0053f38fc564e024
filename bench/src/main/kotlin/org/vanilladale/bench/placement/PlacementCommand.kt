package org.vanilladale.bench.placement

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import org.vanilladale.bench.PairedRun
import org.vanilladale.bench.ResultFile
import org.vanilladale.bench.pairedRuns
import org.vanilladale.bench.readResultFile
import org.vanilladale.bench.seedsFrom
import org.vanilladale.bench.writeResultFile

private val allSizes = listOf("4x64", "4x256", "8x64", "8x256", "32x64", "32x256")

/** Compares placement policies in virtual time on the same workloads. */
public class PlacementCommand : CliktCommand(name = "placement") {
    private val seed by option(help = "first seed").long().default(1)
    private val seeds by option(help = "number of seeds").int().default(5)
    private val hours by option(help = "virtual hours of a run").int().default(8)
    private val threads by option(help = "runs at a time").int().default(2)
    private val sizes by option(help = "ranks x experts").split(",").default(allSizes)
    private val weights by option(help = "skew weights").split(",").default(listOf("0.8", "0.2"))
    private val variants by option(help = "names of variants").split(",")
        .default(listOf("never", "timer", "greedy", "planner"))
    private val output by option(help = "JSON result file").default("target/placement.json")
    private val include by option(help = "result files of other runs to show as well").split(",")
        .default(emptyList())
    private val plots by option(help = "directory for plots; none when empty").default("")

    override fun help(context: Context): String = "expert placement against its baselines"

    override fun run() {
        val chosen = seedsFrom(seed, seeds)
        val tasks = sizes.map { PlacementSize.parse(it) }
            .flatMap { size -> weights.map { size to it.toDouble() } }
            .map { (size, weight) -> Callable { runsOf(size, weight, chosen) } }
        val pool = Executors.newFixedThreadPool(threads)
        val own = try {
            pool.invokeAll(tasks).flatMap { it.get() }
        } finally {
            pool.shutdown()
        }
        val results = own + include.flatMap {
            readResultFile(Path.of(it), PlacementResult.serializer()).results
        }
        val command = "placement --seed $seed --seeds $seeds --hours $hours " +
            "--sizes ${sizes.joinToString(",")} " +
            "--weights ${weights.joinToString(",")} --variants ${variants.joinToString(",")}"
        writeResultFile(
            Path.of(output),
            ResultFile(command, chosen, own),
            PlacementResult.serializer(),
        )
        echo("command: $command")
        echo(placementTable(results))
        if (plots.isNotEmpty()) plotPlacement(Path.of(plots), results)
    }

    private fun runsOf(
        size: PlacementSize,
        weight: Double,
        seeds: List<Long>,
    ): List<PlacementResult> {
        val workloads = seeds.associateWith {
            Workload(size, WorkloadOptions(hours = hours), it)
        }
        val runs: List<PairedRun<PlacementFigures>> = pairedRuns(
            seeds,
            variants.associateWith { name ->
                { seed: Long ->
                    PlacementRun(workloads.getValue(seed), variantOf(name), weight).run()
                }
            },
        )
        return runs.flatMap { run ->
            run.results.map { (name, figures) ->
                PlacementResult(size, weight, name, run.seed, figures)
            }
        }
    }

    private fun variantOf(name: String): PlacementVariant =
        requireNotNull(placementVariants[name]) {
            "no variant '$name'; use one of ${placementVariants.keys.joinToString()}"
        }
}
