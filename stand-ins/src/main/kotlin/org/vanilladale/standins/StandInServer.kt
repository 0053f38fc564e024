package org.vanilladale.standins

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.ext.web.Router
import java.util.concurrent.TimeUnit

private const val START_SECONDS = 10L

/** Starts an HTTP server for [router] on the loopback address and waits until it listens. */
internal fun serve(vertx: Vertx, router: Router, port: Int): HttpServer = vertx.createHttpServer()
    .requestHandler(router)
    .listen(port, "127.0.0.1")
    .toCompletionStage()
    .toCompletableFuture()
    .get(START_SECONDS, TimeUnit.SECONDS)
