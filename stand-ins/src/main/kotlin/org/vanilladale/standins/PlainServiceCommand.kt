package org.vanilladale.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import io.vertx.core.Vertx

internal class PlainServiceCommand : CliktCommand("service") {
    private val port by option(help = "Port on the loopback address").int().required()
    private val label by option(help = "Name in the answers").default("service")

    override fun run() {
        PlainService(Vertx.vertx(), label).start(port)
        echo("service listens on port $port")
    }
}
