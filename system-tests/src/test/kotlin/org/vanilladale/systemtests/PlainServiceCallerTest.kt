package org.vanilladale.systemtests

import io.vertx.core.Vertx
import io.vertx.core.net.NetServerOptions
import java.util.concurrent.Executor
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.vanilladale.agent.PlainServiceCaller
import org.vanilladale.agent.TargetOutcome
import org.vanilladale.schema.Attempt
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RequestId
import org.vanilladale.schema.RequestKey
import org.vanilladale.schema.RequestKind
import org.vanilladale.schema.Submit
import org.vanilladale.schema.WorkspaceId
import org.vanilladale.standins.PlainService
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/**
 * Guards against a lost answer of a plain service when the calling coroutine resumes late, and
 * against broken answers that count as whole ones.
 */
class PlainServiceCallerTest {
    private val vertx = Vertx.vertx()
    private val scheduler = Executors.newSingleThreadScheduledExecutor()

    @AfterEach
    fun stop() {
        vertx.close()
        scheduler.shutdownNow()
    }

    private fun submit(key: String, body: ByteArray = ByteArray(0)) = Submit(
        request = RequestId(1),
        attempt = Attempt(1),
        workspace = WorkspaceId.parse("workspace-1"),
        key = RequestKey.parse(key),
        kind = RequestKind.parse("stock"),
        path = "/stock",
        idempotent = true,
        priority = 5,
        deadline = Deadline.fromEpochMilliseconds(Long.MAX_VALUE),
        offset = 0,
        body = body,
    )

    @Test
    fun `the answer is whole although the coroutine resumes after it has arrived`() {
        val port = PlainService(vertx, "stock").start(0).actualPort()
        val call = PlainServiceCaller(vertx, "http://127.0.0.1:$port", 2).caller
        // Each resumption waits longer than the service takes to answer.
        val late = Executor { task -> scheduler.schedule(task, 50, TimeUnit.MILLISECONDS) }
        repeat(5) { index ->
            var text = ""
            val outcome = runBlocking(late.asCoroutineDispatcher()) {
                withTimeoutOrNull(5_000) { call(submit("key-$index"), { null }) { text += it } }
            }
            expectThat(outcome).isEqualTo(TargetOutcome.Completed)
            expectThat(text).contains("workspace-1/key-$index")
        }
    }

    @Test
    fun `no answer is missed when it arrives while the call is being set up`() {
        val port = PlainService(vertx, "stock").start(0).actualPort()
        val call = PlainServiceCaller(vertx, "http://127.0.0.1:$port", CALLERS).caller
        val outcomes = runBlocking(Dispatchers.Default) {
            (1..CALLERS).map { caller ->
                async {
                    (1..CALLS).map { number ->
                        withTimeoutOrNull(2_000) { call(submit("$caller-$number"), { null }) {} }
                    }
                }
            }.awaitAll().flatten()
        }
        expectThat(outcomes.groupingBy { it }.eachCount())
            .isEqualTo(mapOf(TargetOutcome.Completed to CALLERS * CALLS))
    }

    @ParameterizedTest
    @ValueSource(ints = [1_000, 1 shl 20, 16 shl 20])
    fun `an answer that is reset during the request is broken`(bodyBytes: Int) {
        val server = vertx.createNetServer(NetServerOptions().setSoLinger(0))
            .connectHandler { socket ->
                socket.handler {
                    socket.pause()
                    socket.write("HTTP/1.1 200 OK\r\n\r\na part")
                    vertx.setTimer(RESET_MILLISECONDS) { socket.close() }
                }
            }
            .listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get()
        val url = "http://127.0.0.1:${server.actualPort()}"
        val call = PlainServiceCaller(vertx, url, 1).caller
        val outcome = runBlocking {
            withTimeoutOrNull(5_000) { call(submit("key", ByteArray(bodyBytes)), { null }) {} }
        }
        expectThat(outcome).isA<TargetOutcome.Broken>()
    }

    @Test
    fun `an answer with a malformed field is broken`() {
        val head = "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\n"
        val server = vertx.createNetServer()
            .connectHandler { socket -> socket.handler { socket.write(head + "answer") } }
            .listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get()
        val call = PlainServiceCaller(vertx, "http://127.0.0.1:${server.actualPort()}", 1).caller
        val outcome = runBlocking {
            withTimeoutOrNull(5_000) { call(submit("key"), { null }) {} }
        }
        expectThat(outcome).isA<TargetOutcome.Broken>()
    }

    private companion object {
        /** Lets the caller read the part first. */
        const val RESET_MILLISECONDS = 100L
        const val CALLERS = 8
        const val CALLS = 2_000
    }
}
