package org.vanilladale.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.vertx.core.Vertx

internal class EngineCommand : CliktCommand("engine") {
    private val port by option(help = "Port on the loopback address").int().required()
    private val slots by option(help = "Requests in one batch").int().default(8)
    private val stepMilliseconds by option(help = "Time of one step").long().default(10)
    private val tokens by option(help = "Tokens in an answer").int().default(32)
    private val prefillSteps by option(help = "Steps of a prefill without cache").int().default(10)
    private val cachedPrefixes by option(help = "Prefixes in the cache").int().default(20)
    private val loadLagMilliseconds by option(help = "Age of the load report").long().default(500)

    private val weightStore by option(
        help = "Base URL of the weight store; none for an engine " +
            "that serves one model without commands",
    )
    private val loadMilliseconds by option(help = "Time to load after the read").long().default(200)
    private val ignoreFencing by option(help = "Obey commands of any fencing number").flag()

    private val loaded by option(help = "NAME/VERSION of the model at the start; none if absent")
    private val loadedAdapter by option(help = "NAME/VERSION of an adapter at the start").multiple()

    private fun loads(url: String) = ModelLoads.Settings(
        url,
        loadMilliseconds,
        !ignoreFencing,
        loaded?.let(::nameAndVersion),
        loadedAdapter.associate(::nameAndVersion),
    )

    private fun nameAndVersion(text: String) = text.substringBefore('/') to text.substringAfter('/')

    override fun run() {
        val settings = Engine.Settings(
            slots,
            stepMilliseconds,
            tokens,
            prefillSteps,
            cachedPrefixes,
            loadLagMilliseconds,
        ) {
            Runtime.getRuntime().halt(1)
        }
        Engine(Vertx.vertx(), settings, weightStore?.let(::loads)).start(port)
        echo("engine listens on port $port")
    }
}
