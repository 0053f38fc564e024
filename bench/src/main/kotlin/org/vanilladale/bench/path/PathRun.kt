package org.vanilladale.bench.path

import java.io.IOException
import java.net.http.HttpClient
import java.net.http.HttpResponse
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import org.vanilladale.bench.randomStream

/**
 * Closed loop of [concurrency] callers that alternate between the two ways, so that both meet the
 * same state of the machine.
 */
internal class PathRun(
    private val direct: PathTarget,
    private val entry: PathTarget,
    private val concurrency: Int,
    private val seed: Long,
) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val numbers = AtomicLong(seed * NUMBERS_PER_SEED)
    val directMeasures = PathMeasures()
    val entryMeasures = PathMeasures()

    fun run(seconds: Double) {
        val endAt = System.nanoTime() + (seconds * NANOSECONDS).toLong()
        val executor = Executors.newFixedThreadPool(concurrency)
        repeat(concurrency) { caller -> executor.execute { callUntil(endAt, caller) } }
        executor.shutdown()
        executor.awaitTermination(seconds.toLong() + GRACE_SECONDS, TimeUnit.SECONDS)
    }

    private fun callUntil(endAt: Long, caller: Int) {
        val random = randomStream(seed, "caller-$caller")
        while (System.nanoTime() < endAt) {
            val prompt = "prompt ${random.nextInt()}"
            if (random.nextBoolean()) {
                call(direct, prompt, directMeasures)
                call(entry, prompt, entryMeasures)
            } else {
                call(entry, prompt, entryMeasures)
                call(direct, prompt, directMeasures)
            }
        }
    }

    private fun call(target: PathTarget, prompt: String, measures: PathMeasures) {
        val request = target(numbers.getAndIncrement(), prompt)
        val startedAt = System.nanoTime()
        try {
            val response = client.send(request, HttpResponse.BodyHandlers.ofLines())
            var firstLineAt = 0L
            var last = ""
            response.body().forEach { line ->
                if (firstLineAt == 0L) firstLineAt = System.nanoTime()
                last = line
            }
            val endedAt = System.nanoTime()
            val complete = "\"end\":true" in last || "\"done\":true" in last
            if (response.statusCode() == HTTP_OK && complete) {
                measures.record(
                    microseconds(startedAt, firstLineAt),
                    microseconds(startedAt, endedAt),
                )
            } else {
                measures.failures.incrementAndGet()
            }
        } catch (_: IOException) {
            measures.failures.incrementAndGet()
        }
    }

    private fun microseconds(from: Long, to: Long): Long = (to - from) / NANOSECONDS_PER_MICROSECOND

    private companion object {
        const val NUMBERS_PER_SEED = 1_000_000_000L
        const val NANOSECONDS = 1e9
        const val NANOSECONDS_PER_MICROSECOND = 1_000
        const val GRACE_SECONDS = 30L
        const val HTTP_OK = 200
    }
}
