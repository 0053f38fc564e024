package org.vanilladale.standins

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import java.util.concurrent.ConcurrentHashMap

/**
 * Stand-in for a plain service whose calls may not be repeated: it runs each call that it gets and
 * counts the executions of each key.
 *
 * Any path takes a call; the header `service-key` names it. `GET /control/executions` returns
 * `{key: count}`. `PUT /control` with `{delayMilliseconds, loseAnswers}` brings faults about.
 *
 * @param onExecution called with the key of each execution before its answer
 */
public class PlainService(
    private val vertx: Vertx,
    private val name: String,
    private val onExecution: (key: String) -> Unit = {},
) {
    private val executions = ConcurrentHashMap<String, Int>()

    @Volatile
    private var delayMilliseconds = 0L

    @Volatile
    private var loseAnswers = false

    /** Serves on [port] of the loopback address. */
    public fun start(port: Int): HttpServer {
        val router = Router.router(vertx)
        router.get("/health").handler { it.response().end() }
        router.get("/control/executions").handler { context ->
            context.json(JsonObject(executions.toMap()))
        }
        router.put("/control").handler(BodyHandler.create(false)).handler { context ->
            val body = context.body().asJsonObject()
            delayMilliseconds = body.getLong("delayMilliseconds", delayMilliseconds)
            loseAnswers = body.getBoolean("loseAnswers", loseAnswers)
            context.response().setStatusCode(204).end()
        }
        router.route().handler(BodyHandler.create(false)).handler(::execute)
        return serve(vertx, router, port)
    }

    private fun execute(context: RoutingContext) {
        val key = context.request().getHeader("service-key") ?: "none"
        val count = executions.merge(key, 1, Int::plus)
        onExecution(key)
        val answer = JsonObject()
            .put("service", name)
            .put("path", context.request().path())
            .put("key", key)
            .put("execution", count)
        when {
            loseAnswers -> context.request().connection().close()

            delayMilliseconds > 0 -> vertx.setTimer(delayMilliseconds) { reply(context, answer) }

            else -> reply(context, answer)
        }
    }

    private fun reply(context: RoutingContext, answer: JsonObject) {
        if (!context.response().closed()) context.json(answer)
    }
}
