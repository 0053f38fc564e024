package org.vanilladale.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import org.vanilladale.bench.routing.RoutingCommand

private class BenchCommand : CliktCommand("vanilladale-bench") {
    override fun run(): Unit = Unit
}

/** Starts the program. */
public fun main(arguments: Array<String>) {
    BenchCommand().subcommands(RoutingCommand()).main(arguments)
}
