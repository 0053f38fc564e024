package org.vanilladale.runtime

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait
import java.security.MessageDigest
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.SocketAddressText

/**
 * HTTP endpoint for operators: `/metrics`, `/v1/status` and further pages; each needs the token.
 *
 * @param pages answers by path; a page gets the query parameters and returns JSON text
 */
public class OperatorEndpoint(
    private val vertx: Vertx,
    private val token: String,
    private val counters: SystemCounters,
    private val pages: Map<String, (Map<String, String>) -> String>,
) {
    /** Listens on [address]. */
    public suspend fun start(address: SocketAddressText): HttpServer {
        val router = Router.router(vertx)
        router.route().handler(::authorize)
        router.get("/metrics").handler { context ->
            context.response()
                .putHeader("content-type", "text/plain; version=0.0.4; charset=utf-8")
                .end(counters.scrape())
        }
        pages.forEach { (path, page) ->
            router.get(path).handler { context ->
                val parameters = context.queryParams().associate { it.key to it.value }
                context.response()
                    .putHeader("content-type", "application/json")
                    .end(page(parameters))
            }
        }
        return vertx.createHttpServer()
            .requestHandler(router)
            .listen(address.port, address.host)
            .coAwait()
    }

    private fun authorize(context: RoutingContext) {
        val given = context.request().getHeader("authorization").orEmpty().removePrefix("Bearer ")
        if (MessageDigest.isEqual(given.toByteArray(), token.toByteArray())) {
            context.next()
        } else {
            val reason = RefusalReason.NOT_AUTHORIZED
            counters.refused(reason)
            context.response().setStatusCode(reason.httpStatus).end(reason.remedy)
        }
    }
}
