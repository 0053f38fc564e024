package org.vanilladale.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import io.vertx.core.Vertx

internal class PlainServiceCommand : CliktCommand("service") {
    private val port by option(help = "Port on the loopback address").int().required()
    private val label by option(help = "Name in the answers").default("service")
    private val record by option(help = "File that gets the key of each execution, a line each")
        .file(canBeDir = false)

    override fun run() {
        // The file outlives a killed process, so that a check still sees its executions.
        val onExecution: (String) -> Unit = record?.let { file ->
            { key -> synchronized(file) { file.appendText("$key\n") } }
        } ?: {}
        PlainService(Vertx.vertx(), label, onExecution).start(port)
        echo("service listens on port $port")
    }
}
