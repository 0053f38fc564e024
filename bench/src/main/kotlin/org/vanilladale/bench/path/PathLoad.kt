package org.vanilladale.bench.path

import java.io.IOException
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import org.vanilladale.bench.randomStream

/**
 * Closed loop of [concurrency] callers of one way that runs through a warm-up and a measured
 * window without a pause between them.
 */
internal class PathLoad(
    private val target: PathTarget,
    private val concurrency: Int,
    private val seed: Long,
) {
    /** Counts since the start, read at both ends of a window. */
    data class Counts(val requests: Long, val tokens: Long, val failures: Long)

    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val numbers = AtomicLong(seed * NUMBERS_PER_SEED)
    private val requests = AtomicLong()
    private val tokens = AtomicLong()
    private val failures = AtomicLong()

    @Volatile
    private var stopped = false

    @Volatile
    private var measures = PathMeasures()

    /** Runs the load; [window] gets the latencies of the measured window after its end. */
    fun <R> run(
        warmUpSeconds: Double,
        seconds: Double,
        atStart: () -> R,
        window: (R, Counts, PathMeasures) -> Unit,
    ) {
        val executor = start()
        sleep(warmUpSeconds)
        measures = PathMeasures()
        val before = counts()
        val start = atStart()
        sleep(seconds)
        val after = counts()
        window(
            start,
            Counts(
                after.requests - before.requests,
                after.tokens - before.tokens,
                after.failures - before.failures,
            ),
            measures,
        )
        stop(executor)
    }

    /** Runs the load until [count] requests have ended. */
    fun runRequests(count: Long) {
        val executor = start()
        while (requests.get() + failures.get() < count) sleep(POLL_SECONDS)
        stop(executor)
    }

    private fun start(): ExecutorService {
        val executor = Executors.newFixedThreadPool(concurrency)
        repeat(concurrency) { caller -> executor.execute { callUntilStopped(caller) } }
        return executor
    }

    private fun stop(executor: ExecutorService) {
        stopped = true
        executor.shutdown()
        executor.awaitTermination(GRACE_SECONDS, TimeUnit.SECONDS)
    }

    private fun counts() = Counts(requests.get(), tokens.get(), failures.get())

    private fun callUntilStopped(caller: Int) {
        val random = randomStream(seed, "caller-$caller")
        while (!stopped) {
            val request = target(numbers.getAndIncrement(), "prompt ${random.nextInt()}")
            try {
                if (call(request)) requests.incrementAndGet() else failures.incrementAndGet()
            } catch (_: IOException) {
                failures.incrementAndGet()
            }
        }
    }

    /** Returns whether the answer came whole. */
    private fun call(request: HttpRequest): Boolean {
        val startedAt = System.nanoTime()
        val response = client.send(request, HttpResponse.BodyHandlers.ofInputStream())
        val buffer = ByteArray(BUFFER_BYTES)
        var firstAt = 0L
        var tail = ""
        response.body().use { body ->
            while (true) {
                val count = body.read(buffer)
                if (count < 0) break
                if (firstAt == 0L) firstAt = System.nanoTime()
                // Each token of the stand-in engine ends with a space; nothing else holds one.
                tokens.addAndGet((0 until count).count { buffer[it] == SPACE }.toLong())
                tail = (tail + String(buffer, 0, count, Charsets.ISO_8859_1)).takeLast(TAIL_CHARS)
            }
        }
        val endedAt = System.nanoTime()
        val whole = "\"end\":true" in tail || "\"done\":true" in tail
        if (response.statusCode() != HTTP_OK || !whole) return false
        measures.record(microseconds(startedAt, firstAt), microseconds(startedAt, endedAt))
        return true
    }

    private fun microseconds(from: Long, to: Long): Long = (to - from) / NANOSECONDS_PER_MICROSECOND

    private fun sleep(seconds: Double) {
        Thread.sleep((seconds * MILLISECONDS).toLong())
    }

    private companion object {
        const val NUMBERS_PER_SEED = 1_000_000_000L
        const val NANOSECONDS_PER_MICROSECOND = 1_000
        const val MILLISECONDS = 1_000
        const val POLL_SECONDS = 0.05
        const val GRACE_SECONDS = 60L
        const val HTTP_OK = 200
        const val BUFFER_BYTES = 16_384
        const val TAIL_CHARS = 200
        const val SPACE = ' '.code.toByte()
    }
}
