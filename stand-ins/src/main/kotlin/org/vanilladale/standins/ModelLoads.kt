package org.vanilladale.standins

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler

/**
 * Load commands of a stand-in engine.
 *
 * `GET /v1/models` returns `{model, version, adapters: [{name, version}], loading, fence}`.
 * `POST /v1/models/COMMAND` with `{fence, name, version}` and the commands `load-model`,
 * `load-adapter` and `unload-adapter` answers 204 when the command is carried out, 409 for a
 * fencing number below the highest seen if fencing is kept, and 424 with `{reason, retryAt}` when
 * the load failed. A refused or missing read of the weights leaves the old version in place; from
 * its beginning on a read replaces it. A later command replaces one that still runs.
 * `PUT /control/loads` with `{failNext: N}` makes the next N loads fail after their read.
 */
public class ModelLoads internal constructor(
    private val vertx: Vertx,
    private val settings: Settings,
    private val onDropped: () -> Unit,
) {
    /**
     * How the engine loads.
     *
     * @property weightStoreUrl base URL of the weight store
     * @property loadMilliseconds time from the end of the read until the engine can serve
     * @property keepsFencing whether commands with an old fencing number are refused
     * @property loadedModel name and version that the engine starts with; null for none
     * @property loadedAdapters versions of the adapters that the engine starts with
     */
    public class Settings(
        public val weightStoreUrl: String,
        public val loadMilliseconds: Long,
        public val keepsFencing: Boolean,
        public val loadedModel: Pair<String, String>? = null,
        public val loadedAdapters: Map<String, String> = emptyMap(),
    )

    private val client = vertx.createHttpClient(HttpClientOptions().setKeepAlive(false))
    private var fence = 0L
    private var model: String? = settings.loadedModel?.first
    private var version: String? = settings.loadedModel?.second
    private val adapters = settings.loadedAdapters.toSortedMap()
    private var loading = 0
    private var lastModelLoad = 0
    private var failNext = 0

    internal fun addRoutes(router: Router) {
        router.get("/v1/models").handler { it.json(synchronized(this) { report() }) }
        router.post("/v1/models/:command").handler(BodyHandler.create(false)).handler(::command)
        router.put("/control/loads").handler(BodyHandler.create(false)).handler { context ->
            val body = context.body().asJsonObject()
            synchronized(this) { failNext = body.getInteger("failNext", 0) }
            context.response().setStatusCode(204).end()
        }
    }

    /** Returns the reason for which a request with [adapter] can't run, or null. */
    internal fun refusalOrNull(adapter: String?): String? = synchronized(this) {
        when {
            version == null -> "loading"
            adapter != null && adapter !in adapters -> "no-adapter"
            else -> null
        }
    }

    private fun command(context: RoutingContext) {
        val body = context.body().asJsonObject()
        val name = body.getString("name")
        val wanted = body.getString("version")
        val kind = context.pathParam("command")
        val stale = synchronized(this) {
            val given = body.getLong("fence")
            (settings.keepsFencing && given < fence).also { fence = maxOf(fence, given) }
        }
        when {
            stale -> context.response().setStatusCode(409).end()

            kind == "unload-adapter" -> {
                synchronized(this) { adapters.remove(name) }
                context.response().setStatusCode(204).end()
            }

            else -> load(context, kind, name, wanted)
        }
    }

    private fun load(context: RoutingContext, kind: String, name: String, wanted: String) {
        val (number, fails) = synchronized(this) {
            loading++
            val fails = failNext > 0
            if (fails) failNext--
            (if (kind == "load-model") ++lastModelLoad else lastModelLoad) to fails
        }
        val options = RequestOptions()
            .setMethod(HttpMethod.GET)
            .setAbsoluteURI("${settings.weightStoreUrl}/v1/weights/$name/$wanted")
        client.request(options).compose { it.send() }
            .onFailure { fail(context, "weight-store-unreachable") }
            .onSuccess { response ->
                // The head of the answer alone tells that the read began.
                val begins = response.statusCode() == 200
                if (begins && kind == "load-model") drop(number)
                response.body()
                    .onFailure { fail(context, "weight-store-unreachable") }
                    .onSuccess { body ->
                        when {
                            !begins -> refuse(context, response.statusCode(), body)

                            fails -> fail(context, "engine-failed")

                            else -> vertx.setTimer(settings.loadMilliseconds.coerceAtLeast(1)) {
                                finish(context, kind, name, wanted, number)
                            }
                        }
                    }
            }
    }

    private fun refuse(context: RoutingContext, status: Int, body: Buffer) {
        if (status == 429) {
            fail(context, "weight-store-limit", JsonObject(body).getLong("retryAt"))
        } else {
            fail(context, "version-missing")
        }
    }

    private fun drop(number: Int) {
        synchronized(this) {
            if (number != lastModelLoad) return
            model = null
            version = null
            adapters.clear()
        }
        onDropped()
    }

    private fun finish(
        context: RoutingContext,
        kind: String,
        name: String,
        wanted: String,
        number: Int,
    ) {
        synchronized(this) {
            loading--
            if (number == lastModelLoad) {
                if (kind == "load-model") {
                    model = name
                    version = wanted
                } else {
                    adapters[name] = wanted
                }
            }
        }
        context.response().setStatusCode(204).end()
    }

    private fun fail(context: RoutingContext, reason: String, retryAt: Long? = null) {
        synchronized(this) { loading-- }
        val body = JsonObject().put("reason", reason)
        retryAt?.let { body.put("retryAt", it) }
        context.response().setStatusCode(424).end(body.toBuffer())
    }

    private fun report(): JsonObject {
        val rows = adapters.map { JsonObject().put("name", it.key).put("version", it.value) }
        val json = JsonObject().put("adapters", JsonArray(rows)).put("loading", loading > 0)
        model?.let { json.put("model", it) }
        version?.let { json.put("version", it) }
        if (settings.keepsFencing) json.put("fence", fence)
        return json
    }
}
