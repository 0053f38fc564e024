package org.vanilladale.bench.path

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.associate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import java.nio.file.Path
import org.vanilladale.bench.ResultFile
import org.vanilladale.bench.seedsFrom
import org.vanilladale.bench.writeResultFile

/** Compares the way through an entry with a direct call of the same engine, on real processes. */
public class PathCommand : CliktCommand("path") {
    private val engineUrl by option(help = "URL of a stand-in engine").required()
    private val entryUrl by option(help = "URL of an entry").required()
    private val kind by option(help = "Kind of request that reaches the engine").required()
    private val seconds by option(help = "Length of each run").double().default(DEFAULT_SECONDS)
    private val warmUpSeconds by option(help = "Time before the first run").double().default(5.0)
    private val concurrency by option(help = "Callers").int().default(DEFAULT_CALLERS)
    private val workspaces by option(help = "Workspaces of the callers").int().default(10)
    private val firstSeed by option(help = "First seed").long().default(1)
    private val runs by option(help = "Runs, each with the next seed").int().default(5)
    private val process: Map<String, String> by option(
        help = "name=id of a process whose processor time and memory are reported",
    ).associate()
    private val output by option(help = "Result file").path()
        .default(Path.of("target/path/result.json"))

    override fun help(context: Context): String =
        "Paired load on a real path: through an entry and straight to the engine"

    override fun run() {
        val direct = directTarget(engineUrl)
        val entry = entryTarget(entryUrl, kind, workspaces)
        PathRun(direct, entry, concurrency, seed = 0).run(warmUpSeconds)
        val seeds = seedsFrom(firstSeed, runs)
        val results = seeds.map { seed ->
            val usage = process.map { (name, id) -> ProcessUsage(name, id.toLong()) }
            val run = PathRun(direct, entry, concurrency, seed)
            run.run(seconds)
            val result = PathResult(
                seed,
                seconds,
                WayResult.fromMeasures(run.directMeasures),
                WayResult.fromMeasures(run.entryMeasures),
                usage.map { it.result() },
            )
            echo(result.toString())
            result
        }
        val command = "path --kind=$kind --seconds=$seconds --concurrency=$concurrency"
        writeResultFile(output, ResultFile(command, seeds, results), PathResult.serializer())
    }

    private companion object {
        const val DEFAULT_SECONDS = 10.0
        const val DEFAULT_CALLERS = 8
    }
}
