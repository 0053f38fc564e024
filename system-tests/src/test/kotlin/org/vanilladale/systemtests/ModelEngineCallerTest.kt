package org.vanilladale.systemtests

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerResponse
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.vanilladale.agent.ModelEngineCaller
import org.vanilladale.agent.TargetOutcome
import org.vanilladale.schema.Attempt
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RequestId
import org.vanilladale.schema.RequestKey
import org.vanilladale.schema.RequestKind
import org.vanilladale.schema.Submit
import org.vanilladale.schema.WorkspaceId
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/**
 * Guards the agent's memory against an engine that is faster than the way to the caller, and its
 * callers against answers with a malformed head.
 */
class ModelEngineCallerTest {
    private val vertx = Vertx.vertx()
    private val written = AtomicInteger()
    private val line = """{"text":"${"x".repeat(1_000)}"}""" + "\n"

    @AfterEach
    fun stop() {
        vertx.close()
    }

    private val submit = Submit(
        request = RequestId(1),
        attempt = Attempt(1),
        workspace = WorkspaceId.parse("workspace-1"),
        key = RequestKey.parse("key-1"),
        kind = RequestKind.parse("draft"),
        path = "/",
        idempotent = true,
        priority = 5,
        deadline = Deadline.fromEpochMilliseconds(Long.MAX_VALUE),
        offset = 0,
        body = ByteArray(0),
    )

    /** Writes as long as the connection takes more, as an engine with back-pressure does. */
    private fun write(response: HttpServerResponse) {
        while (written.get() < LINES && !response.writeQueueFull()) {
            response.write(line)
            written.incrementAndGet()
        }
        if (written.get() < LINES) {
            response.drainHandler { write(response) }
        } else if (!response.ended()) {
            response.end("""{"done":true}""" + "\n")
        }
    }

    private fun startEngine(): Int = vertx.createHttpServer()
        .requestHandler { request ->
            request.endHandler { write(request.response().setChunked(true)) }
        }
        .listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture()
        .get(10, TimeUnit.SECONDS).actualPort()

    @Test
    fun `a slow way to the caller stops the engine and loses nothing`() {
        val call = ModelEngineCaller(vertx, "http://127.0.0.1:${startEngine()}", 1).caller
        val mayTake = CompletableDeferred<Unit>()
        var length = 0L
        runBlocking(Dispatchers.Default) {
            val outcome = async {
                call(submit, { null }) {
                    mayTake.await()
                    length += it.length
                }
            }
            var before = -1
            while (written.get() == 0 || written.get() != before) {
                before = written.get()
                delay(500)
            }
            // The buffers of the sockets take some megabytes of the 64.
            expectThat(before).isLessThan(LINES / 2)
            mayTake.complete(Unit)
            expectThat(withTimeout(30_000) { outcome.await() }).isEqualTo(TargetOutcome.Completed)
        }
        expectThat(length).isEqualTo(LINES * 1_000L)
    }

    @Test
    fun `an answer with a malformed field is broken`() {
        val answer = """{"text":"piece"}""" + "\n" + """{"done":true}""" + "\n"
        val head = "HTTP/1.1 200 OK\r\nContent-Length : ${answer.length}\r\n\r\n"
        val port = vertx.createNetServer()
            .connectHandler { socket -> socket.handler { socket.write(head + answer) } }
            .listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture()
            .get(10, TimeUnit.SECONDS).actualPort()
        val call = ModelEngineCaller(vertx, "http://127.0.0.1:$port", 1).caller
        val outcome = runBlocking { withTimeout(10_000) { call(submit, { null }) {} } }
        expectThat(outcome).isA<TargetOutcome.Broken>()
    }

    private companion object {
        const val LINES = 64_000
    }
}
