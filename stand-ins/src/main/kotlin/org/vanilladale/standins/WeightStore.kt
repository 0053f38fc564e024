package org.vanilladale.standins

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler

/**
 * Stand-in for the platform's weight store with one rate limit over all readers.
 *
 * `GET /v1/weights/NAME/VERSION` sends the head of its answer at once and ends it when the read
 * time has passed. Above the limit it answers 429 with `{retryAt}` in epoch milliseconds, for
 * missing weights 404. `GET /control/reads` returns
 * `{reads, refused, running, mostRunning}`. `PUT /control` with `{missing: ["NAME/VERSION"]}` makes
 * weights missing, `{reads, readMilliseconds}` change limit and time.
 */
public class WeightStore(private val vertx: Vertx, private val settings: Settings) {
    /**
     * Limit and speed.
     *
     * @property reads reads that may start within [windowMilliseconds]
     * @property readMilliseconds time of one read
     */
    public class Settings(
        public val reads: Int,
        public val windowMilliseconds: Long,
        public val readMilliseconds: Long,
    )

    private val startedAt = ArrayDeque<Long>()
    private var limit = settings.reads
    private var readMilliseconds = settings.readMilliseconds
    private var missing = emptySet<String>()
    private var reads = 0
    private var refused = 0
    private var running = 0
    private var mostRunning = 0

    /** Serves on [port] of the loopback address. */
    public fun start(port: Int): HttpServer {
        val router = Router.router(vertx)
        router.get("/v1/weights/:name/:version").handler(::read)
        router.get("/control/reads").handler { context ->
            context.json(synchronized(this) { counts() })
        }
        router.put("/control").handler(BodyHandler.create(false)).handler(::control)
        return serve(vertx, router, port)
    }

    private fun read(context: RoutingContext) {
        val weights = "${context.pathParam("name")}/${context.pathParam("version")}"
        val now = System.currentTimeMillis()
        val response = context.response()
        val milliseconds = synchronized(this) {
            while (startedAt.isNotEmpty() &&
                startedAt.first() <= now - settings.windowMilliseconds
            ) {
                startedAt.removeFirst()
            }
            when {
                weights in missing -> {
                    response.setStatusCode(404).end()
                    return
                }

                startedAt.size >= limit -> {
                    refused++
                    val oldest = startedAt.firstOrNull() ?: now
                    val body = JsonObject().put("retryAt", oldest + settings.windowMilliseconds)
                    response.setStatusCode(429).end(body.toBuffer())
                    return
                }
            }
            startedAt.addLast(now)
            reads++
            running++
            mostRunning = maxOf(mostRunning, running)
            readMilliseconds
        }
        response.setChunked(true).write(weights)
        vertx.setTimer(milliseconds.coerceAtLeast(1)) {
            synchronized(this) { running-- }
            if (!response.closed()) response.end()
        }
    }

    private fun control(context: RoutingContext) {
        val body = context.body().asJsonObject()
        synchronized(this) {
            body.getJsonArray("missing")?.let { names -> missing = names.map { "$it" }.toSet() }
            body.getInteger("reads")?.let { limit = it }
            body.getLong("readMilliseconds")?.let { readMilliseconds = it }
        }
        context.response().setStatusCode(204).end()
    }

    private fun counts() = JsonObject()
        .put("reads", reads)
        .put("refused", refused)
        .put("running", running)
        .put("mostRunning", mostRunning)
}
