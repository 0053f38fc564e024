package org.vanilladale.standins

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import java.util.concurrent.atomic.AtomicLong

/**
 * Stand-in for the platform's configuration service: read and watch, each call counted.
 *
 * `GET /v1/tables` returns `{revision, routes, pools}` with the two tables as texts.
 * `GET /v1/tables?held=N` answers 204 when the revision to return is N.
 * `GET /v1/tables?after=N&wait=MS` waits up to MS milliseconds for a revision above N, then 204.
 * `PUT /control` with `{routes, pools}` publishes a revision; `PUT /control/mode` with
 * `{mode: up|down|stale}` brings a fault about.
 */
public class ConfigurationService(private val vertx: Vertx) {
    private class Snapshot(val revision: Long, val routes: String, val pools: String)
    private class Watch(val after: Long, val context: RoutingContext, var timer: Long)

    private val lock = Any()
    private val watches = mutableListOf<Watch>()
    private val history = mutableListOf<Snapshot>()
    private var mode = "up"
    private val callCount = AtomicLong()

    /** Number of reads and watches since the start. */
    public val calls: Long get() = callCount.get()

    /** Publishes the two tables under the next revision and returns the revision. */
    public fun publish(routes: String, pools: String): Long {
        val (revision, due) = synchronized(lock) {
            val snapshot = Snapshot((history.lastOrNull()?.revision ?: 0) + 1, routes, pools)
            history += snapshot
            val due = if (mode ==
                "up"
            ) {
                watches.filter { it.after < snapshot.revision }
            } else {
                emptyList()
            }
            watches -= due.toSet()
            snapshot.revision to due
        }
        due.forEach { watch ->
            vertx.cancelTimer(watch.timer)
            respond(watch.context)
        }
        return revision
    }

    /** Sets the fault mode: `up`, `down` (503) or `stale` (the revision before the newest). */
    public fun setMode(newMode: String) {
        require(newMode in setOf("up", "down", "stale")) { "mode must be up, down or stale" }
        synchronized(lock) { mode = newMode }
    }

    /** Serves on [port] of the loopback address. */
    public fun start(port: Int): HttpServer {
        val router = Router.router(vertx)
        router.get("/v1/tables").handler(::read)
        router.put("/control").handler(BodyHandler.create(false)).handler { context ->
            val body = context.body().asJsonObject()
            val revision = publish(body.getString("routes"), body.getString("pools"))
            context.json(JsonObject().put("revision", revision))
        }
        router.put("/control/mode").handler(BodyHandler.create(false)).handler { context ->
            setMode(context.body().asJsonObject().getString("mode"))
            context.response().setStatusCode(204).end()
        }
        router.get("/control/calls").handler { context ->
            context.json(JsonObject().put("calls", calls))
        }
        return serve(vertx, router, port)
    }

    private fun read(context: RoutingContext) {
        callCount.incrementAndGet()
        val after = context.request().getParam("after")?.toLongOrNull() ?: -1
        val wait = context.request().getParam("wait")?.toLongOrNull() ?: 0
        val mustWait = synchronized(lock) {
            val newest = visible()?.revision ?: 0
            (mode != "down" && wait > 0 && newest <= after).also { waits ->
                if (waits) addWatch(after, context, wait)
            }
        }
        if (!mustWait) respond(context)
    }

    private fun addWatch(after: Long, context: RoutingContext, wait: Long) {
        val watch = Watch(after, context, 0)
        watch.timer = vertx.setTimer(wait) {
            val removed = synchronized(lock) { watches.remove(watch) }
            if (removed) context.response().setStatusCode(204).end()
        }
        watches += watch
    }

    private fun respond(context: RoutingContext) {
        val (down, snapshot) = synchronized(lock) { (mode == "down") to visible() }
        if (context.response().ended() || context.response().closed()) return
        when {
            down -> context.response().setStatusCode(503).end()

            snapshot == null -> context.response().setStatusCode(404).end()

            context.request().getParam("held") == snapshot.revision.toString() ->
                context.response().setStatusCode(204).end()

            else -> context.json(
                JsonObject()
                    .put("revision", snapshot.revision)
                    .put("routes", snapshot.routes)
                    .put("pools", snapshot.pools),
            )
        }
    }

    private fun visible(): Snapshot? =
        if (mode == "stale") history.getOrNull(history.size - 2) else history.lastOrNull()
}
