package org.vanilladale.standins

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler

/**
 * Stand-in for a model engine with continuous batching.
 *
 * `POST /v1/generate` takes `{stream, prompt, tokens, priority, continue}`, where `prompt` is
 * base64 and `continue` is text that the caller holds already, and streams NDJSON lines
 * `{"text": ...}` up to `{"done": true}`. Closing the connection cancels the request. A request
 * with the `stream` of an earlier one resumes it: the tokens that exist already come at once.
 * A request whose `prefix` is not cached first waits for the prefill steps. Cache changes are
 * published at `GET /v1/cache-events?after=N` as `{last, events: [{prefix, stored, raisedAt}]}`.
 * `GET /v1/load` returns `{running, waiting, slots}` as it was one lag ago. `GET /health` is 200.
 * `GET /control/streams` returns `{started}`, the number of requests since the start.
 * `PUT /control` with `{stallMilliseconds}` stops all steps for that time; `{crashOn: text}` ends
 * the process when a prompt that contains the text runs; `{tokens}` sets the tokens of later
 * answers whose request names no number.
 *
 * With load settings the engine takes the commands of [ModelLoads]; it then
 * answers 503 with `{reason}` to a request whose model or `adapter` it has not loaded, and cuts off
 * the requests that run when its model version is replaced.
 */
public class Engine(
    private val vertx: Vertx,
    private val settings: Settings,
    loadSettings: ModelLoads.Settings? = null,
) {
    /**
     * How the engine behaves.
     *
     * @property slots requests that run in one batch
     * @property stepMilliseconds time of one step, which makes one token for each running request
     * @property tokens tokens in an answer when the request names no number
     * @property prefillSteps steps before the first token of a request whose prefix is not cached
     * @property cachedPrefixes prefixes that fit into the cache
     * @property loadLagMilliseconds age of the load report
     * @property onCrash ends the process
     */
    public class Settings(
        public val slots: Int,
        public val stepMilliseconds: Long,
        public val tokens: Int,
        public val prefillSteps: Int,
        public val cachedPrefixes: Int,
        public val loadLagMilliseconds: Long,
        public val onCrash: () -> Unit,
    )

    private val running = mutableListOf<EngineStream>()
    private val waiting = ArrayDeque<EngineStream>()
    private val produced = object : LinkedHashMap<String, Int>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Int>): Boolean =
            size > KEPT_STREAMS
    }
    private val cache = PrefixCache(settings.cachedPrefixes)
    private var started = 0
    private var stalledUntil = 0L
    private var crashOn: String? = null

    @Volatile
    private var defaultTokens = settings.tokens
    private var reported = load()
    private val loads = loadSettings?.let { ModelLoads(vertx, it, ::cutOff) }

    /** Serves on [port] of the loopback address. */
    public fun start(port: Int): HttpServer {
        val router = Router.router(vertx)
        addRoutes(router)
        vertx.setPeriodic(settings.stepMilliseconds) { step() }
        return serve(vertx, router, port)
    }

    /** Adds the routes of this engine; the caller of it calls [step] for each step. */
    internal fun addRoutes(router: Router) {
        router.post("/v1/generate").handler(BodyHandler.create(false)).handler(::generate)
        router.get("/v1/cache-events").handler { context ->
            val after = context.request().getParam("after")?.toLongOrNull() ?: 0
            context.json(synchronized(this) { cache.eventsAfter(after) })
        }
        router.get("/v1/load").handler { it.json(synchronized(this) { reported }) }
        router.get("/control/streams").handler {
            it.json(JsonObject().put("started", synchronized(this) { started }))
        }
        loads?.addRoutes(router)
        router.get("/health").handler { it.response().end() }
        router.put("/control").handler(BodyHandler.create(false)).handler(::control)
        vertx.setPeriodic(settings.loadLagMilliseconds.coerceAtLeast(1)) {
            synchronized(this) { reported = load() }
        }
    }

    private fun generate(context: RoutingContext) {
        val body = context.body().asJsonObject()
        val missing = loads?.refusalOrNull(body.getString("adapter"))
        if (missing != null) {
            context.response().setStatusCode(
                503,
            ).end(JsonObject().put("reason", missing).toBuffer())
            return
        }
        val response = context.response().setChunked(true)
        val id = body.getString("stream", "")
        val stream = EngineStream(
            id = id,
            prompt = body.getBinary("prompt"),
            tokens = body.getInteger("tokens") ?: defaultTokens,
            priority = body.getInteger("priority") ?: 0,
            next = AnswerTokens.count(body.getString("continue", "")),
            response = response,
        )
        synchronized(this) {
            started++
            stream.replay(produced[id] ?: 0)
            val prefix = body.getString("prefix")
            if (prefix != null && !cache.use(prefix)) stream.prefillSteps = settings.prefillSteps
        }
        if (stream.done) return
        response.closeHandler { stream.cancelled = true }
        synchronized(this) {
            val before = waiting.indexOfFirst { it.priority < stream.priority }
            if (before < 0) waiting.addLast(stream) else waiting.add(before, stream)
        }
    }

    private fun cutOff() {
        val cut = synchronized(this) {
            (running + waiting).filterNot { it.done }.also {
                running.clear()
                waiting.clear()
            }
        }
        cut.forEach { it.cutOff() }
    }

    private fun control(context: RoutingContext) {
        val body = context.body().asJsonObject()
        synchronized(this) {
            body.getLong("stallMilliseconds")?.let {
                stalledUntil = System.currentTimeMillis() + it
            }
            body.getInteger("tokens")?.let { defaultTokens = it }
            if (body.containsKey("crashOn")) crashOn = body.getString("crashOn")
        }
        context.response().setStatusCode(204).end()
    }

    internal fun step(): Unit = synchronized(this) {
        if (System.currentTimeMillis() < stalledUntil) return@synchronized
        running.removeAll { it.done }
        while (running.size < settings.slots && waiting.isNotEmpty()) {
            running += waiting.removeFirst()
        }
        val deadly = crashOn
        if (deadly != null && running.any { it.prompt.decodeToString().contains(deadly) }) {
            settings.onCrash()
        }
        running.forEach { stream ->
            stream.step()
            produced[stream.id] = stream.next
        }
    }

    private fun load() = JsonObject()
        .put("running", running.size)
        .put("waiting", waiting.size)
        .put("slots", settings.slots)

    private companion object {
        /** Streams that can be resumed. */
        const val KEPT_STREAMS = 4096
    }
}
