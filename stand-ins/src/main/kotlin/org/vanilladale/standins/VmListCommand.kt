package org.vanilladale.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.vertx.core.Vertx
import io.vertx.core.json.JsonObject

internal class VmListCommand : CliktCommand("vm-list") {
    private val port by option(help = "Port on the loopback address").int().required()
    private val list by option(help = "JSON file with the first list").file(mustExist = true)
    private val lagMilliseconds by option(help = "Lag of the list").long().default(0)

    override fun run() {
        val vertx = Vertx.vertx()
        val first = VmList(vertx, lagMilliseconds)
        list?.let { first.replace(JsonObject(it.readText()).getJsonArray("vms")) }
        first.start(port)
        echo("VM list listens on port $port")
    }
}
