package org.vanilladale.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option

internal class MetricsCommand : CliktCommand("metrics") {
    private val process by ProcessOptions()
    private val all by option(help = "Print counters that are zero too").flag()

    override fun help(context: Context) = "Shows the counters of a running entry or agent."

    override fun run() {
        process.read("/metrics").lineSequence()
            .filter { it.isNotBlank() && !it.startsWith("#") }
            .filter { all || it.substringAfterLast(' ').toDouble() != 0.0 }
            .forEach { echo(it) }
    }
}
