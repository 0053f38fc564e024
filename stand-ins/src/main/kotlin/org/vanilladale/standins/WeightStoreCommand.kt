package org.vanilladale.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.vertx.core.Vertx

internal class WeightStoreCommand : CliktCommand("weight-store") {
    private val port by option(help = "Port on the loopback address").int().required()
    private val reads by option(help = "Reads that may start in one window").int().default(4)
    private val windowMilliseconds by option(help = "Window of the limit").long().default(1_000)
    private val readMilliseconds by option(help = "Time of one read").long().default(500)

    override fun run() {
        val settings = WeightStore.Settings(reads, windowMilliseconds, readMilliseconds)
        WeightStore(Vertx.vertx(), settings).start(port)
        echo("weight store listens on port $port")
    }
}
