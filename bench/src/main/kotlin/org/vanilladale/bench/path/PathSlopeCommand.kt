package org.vanilladale.bench.path

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.associate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Path
import org.vanilladale.bench.ResultFile
import org.vanilladale.bench.seedsFrom
import org.vanilladale.bench.writeResultFile

/** Fits processor time per request and per token of the processes on the way to an engine. */
public class PathSlopeCommand : CliktCommand("path-slope") {
    private val engineUrl by option(help = "URL of a stand-in engine").required()
    private val entryUrl by option(help = "URL of an entry").required()
    private val kind by option(help = "Kind of request that reaches the engine").required()
    private val tokens: List<Int> by option(help = "Tokens per request, one load each")
        .int().split(",").default(listOf(16, 64, 256, 1_000))
    private val seconds by option(help = "Length of each window").double().default(DEFAULT_SECONDS)
    private val warmUpRequests by option(help = "Requests before the first window")
        .long().default(DEFAULT_WARM_UP_REQUESTS)
    private val warmUpSeconds by option(help = "Load before each window").double().default(2.0)
    private val idleSeconds by option(help = "Window without load").double().default(4.0)
    private val concurrency by option(help = "Callers").int().default(DEFAULT_CALLERS)
    private val workspaces by option(help = "Workspaces of the callers").int().default(10)
    private val firstSeed by option(help = "First seed").long().default(1)
    private val runs by option(help = "Runs, each with the next seed").int().default(3)
    private val process: Map<String, String> by option(
        help = "name=id of a process whose processor time and memory are reported",
    ).associate()
    private val output by option(help = "Result file").path()
        .default(Path.of("target/path-slope/result.json"))

    override fun help(context: Context): String =
        "Processor time per request and per token on a real path through an entry"

    override fun run() {
        val target = entryTarget(entryUrl, kind, workspaces)
        setTokens(tokens.first())
        PathLoad(target, concurrency, seed = 0).runRequests(warmUpRequests)
        val idle = startUsage()
        Thread.sleep((idleSeconds * MILLISECONDS).toLong())
        val idleShares = idle.associate {
            val result = it.result()
            result.process to (result.processorSeconds - result.compilerSeconds) / idleSeconds
        }
        val seeds = seedsFrom(firstSeed, runs)
        val points = seeds.flatMap { seed -> tokens.map { measure(target, seed, it) } }
        val slopes = idleShares.map { (name, share) ->
            ProcessSlope.fromPoints(name, share, points)
        }
        slopes.forEach { echo(it.toString()) }
        val command = "path-slope --kind=$kind --seconds=$seconds --concurrency=$concurrency " +
            "--tokens=${tokens.joinToString(",")}"
        val results = listOf(SlopeResult(points, slopes))
        writeResultFile(output, ResultFile(command, seeds, results), SlopeResult.serializer())
    }

    private fun startUsage() = process.map { (name, id) -> ProcessUsage(name, id.toLong()) }

    private fun measure(target: PathTarget, seed: Long, tokensPerRequest: Int): SlopePoint {
        setTokens(tokensPerRequest)
        lateinit var point: SlopePoint
        PathLoad(target, concurrency, seed * SEED_STRIDE + tokensPerRequest).run(
            warmUpSeconds,
            seconds,
            ::startUsage,
        ) { usage, counts, measures ->
            point = SlopePoint(
                seed,
                tokensPerRequest,
                seconds,
                counts.requests,
                counts.tokens,
                counts.failures,
                Latency.fromHistogram(measures.firstLine),
                Latency.fromHistogram(measures.whole),
                usage.map { it.result() },
            )
        }
        echo(point.toString())
        return point
    }

    private fun setTokens(count: Int) {
        val request = HttpRequest.newBuilder(URI("$engineUrl/control"))
            .PUT(HttpRequest.BodyPublishers.ofString("""{"tokens":$count}"""))
            .build()
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding())
    }

    private companion object {
        const val DEFAULT_SECONDS = 10.0
        const val DEFAULT_CALLERS = 16

        /** The compiler has seen each path often enough after some thousand requests. */
        const val DEFAULT_WARM_UP_REQUESTS = 4_000L
        const val MILLISECONDS = 1_000

        /** Keeps the request keys of two loads with the same seed apart. */
        const val SEED_STRIDE = 100_000
    }
}
