package org.vanilladale.standins

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.handler.BodyHandler

/**
 * Stand-in for the platform's list of live and leaving VMs, which lags behind the truth.
 *
 * `GET /v1/vms` returns `{vms: [{vm, role, state, dataCentre, callerAddress, peerAddress}]}` with
 * state `live` or `leaving`. `PUT /control` replaces the list; readers see it after the lag.
 */
public class VmList(private val vertx: Vertx, private val lagMilliseconds: Long) {
    @Volatile
    private var visible = JsonArray()

    /** Replaces the list; readers see [vms] after the lag. */
    public fun replace(vms: JsonArray) {
        if (lagMilliseconds == 0L) {
            visible = vms
        } else {
            vertx.setTimer(lagMilliseconds) { visible = vms }
        }
    }

    /** Serves on [port] of the loopback address. */
    public fun start(port: Int): HttpServer {
        val router = Router.router(vertx)
        router.get("/v1/vms").handler { it.json(JsonObject().put("vms", visible)) }
        router.put("/control").handler(BodyHandler.create(false)).handler { context ->
            replace(context.body().asJsonObject().getJsonArray("vms"))
            context.response().setStatusCode(204).end()
        }
        return serve(vertx, router, port)
    }
}
