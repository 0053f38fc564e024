package org.vanilladale.operator

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** The operator address and token of one entry or agent. */
internal class ProcessOptions : OptionGroup("Process") {
    private val url by option(help = "Operator URL of an entry or agent, http://10.0.0.1:7180")
        .required()
    private val token by option(help = "Operator token", envvar = "VANILLADALE_TOKEN").required()

    /** Returns the JSON text of the page at [path]. */
    fun read(path: String, parameters: Map<String, String> = emptyMap()): String {
        val vertx = Vertx.vertx()
        try {
            val request = WebClient.create(vertx)
                .getAbs(url.trimEnd('/') + path)
                .bearerTokenAuthentication(token)
            parameters.forEach { (name, value) -> request.addQueryParam(name, value) }
            val response = request.send().toCompletionStage().toCompletableFuture()
                .get(READ_SECONDS, TimeUnit.SECONDS)
            if (response.statusCode() != HTTP_OK) {
                fail("$url answered ${response.statusCode()}: ${response.bodyAsString()}")
            }
            return response.bodyAsString()
        } catch (failed: ExecutionException) {
            fail("$url can't be reached (${failed.cause?.message}); check address and process")
        } catch (_: TimeoutException) {
            fail("$url did not answer within $READ_SECONDS s; check the process")
        } finally {
            vertx.close()
        }
    }

    private fun fail(message: String): Nothing =
        throw CliktError(message, statusCode = ExitCode.UNREACHABLE)

    private companion object {
        const val READ_SECONDS = 5L
        const val HTTP_OK = 200
    }
}
