package org.vanilladale.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import io.vertx.core.Vertx

internal class ConfigurationServiceCommand : CliktCommand("configuration-service") {
    private val port by option(help = "Port on the loopback address").int().required()
    private val routes by option(help = "File with the table of routes").file(mustExist = true)
    private val pools by option(help = "File with the table of pools").file(mustExist = true)

    override fun run() {
        val service = ConfigurationService(Vertx.vertx())
        val routesFile = routes
        val poolsFile = pools
        if (routesFile != null && poolsFile != null) {
            service.publish(routesFile.readText(), poolsFile.readText())
        }
        service.start(port)
        echo("configuration service listens on port $port")
    }
}
