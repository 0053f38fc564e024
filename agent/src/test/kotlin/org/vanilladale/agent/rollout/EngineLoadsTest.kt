package org.vanilladale.agent.rollout

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.vanilladale.core.rollout.LoadCommand
import org.vanilladale.core.rollout.LoadCommandKind
import org.vanilladale.core.rollout.LoadFailure
import org.vanilladale.core.rollout.LoadResult
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.ModelVersion
import org.vanilladale.schema.Revision
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Verifies that an unexpected or malformed response of an engine doesn't end the rollout loop. */
class EngineLoadsTest {
    private val vertx = Vertx.vertx()

    @AfterEach
    fun close() {
        vertx.close()
    }

    private fun <R> withAnswer(status: Int, body: String, block: suspend (EngineLoads) -> R): R =
        runBlocking {
            val server = vertx.createHttpServer()
                .requestHandler { it.response().setStatusCode(status).end(body) }
                .listen(0, "127.0.0.1")
                .coAwait()
            block(EngineLoads(vertx, "http://127.0.0.1:${server.actualPort()}"))
        }

    @Test
    fun `a report with values of other types counts as no report`() {
        val bodies = listOf(
            """{"model": {"name": "drafts"}}""",
            """{"loading": "no"}""",
            """{"adapters": "embroidery"}""",
            """{"adapters": ["embroidery"]}""",
            """["drafts"]""",
            "not JSON",
            "",
        )
        bodies.forEach { body ->
            expectThat(withAnswer(200, body) { it.readOrNull() }).describedAs(body).isNull()
        }
    }

    private val command = LoadCommand(
        LoadCommandKind.LOAD_MODEL,
        "drafts",
        ModelVersion.parse("v1"),
        plan = 1,
        fence = Revision(1),
        validUntil = Deadline.fromEpochMilliseconds(Long.MAX_VALUE),
    )

    @Test
    fun `a response with a malformed field does not complete a load`() = runBlocking<Unit> {
        val server = vertx.createNetServer()
            .connectHandler { socket ->
                socket.handler { socket.write("HTTP/1.1 204 No Content\r\nX Odd: 1\r\n\r\n") }
            }
            .listen(0, "127.0.0.1")
            .coAwait()
        val result = EngineLoads(vertx, "http://127.0.0.1:${server.actualPort()}").send(command)
        expectThat(result).isEqualTo(LoadResult.Failed(LoadFailure.ENGINE_UNREACHABLE))
    }

    @Test
    fun `a retry time of another type is ignored in the response to a failed load`() {
        val result = withAnswer(500, """{"retryAt": "soon"}""") { it.send(command) }
        expectThat(result).isEqualTo(LoadResult.Failed(LoadFailure.fromCode(null), null))
    }
}
