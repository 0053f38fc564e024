package org.vanilladale.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

private class StandInsCommand : CliktCommand("vanilladale-stand-ins") {
    override fun run() = Unit
}

/** Starts one stand-in of the platform; see `--help`. */
public fun main(arguments: Array<String>) {
    StandInsCommand()
        .subcommands(
            ConfigurationServiceCommand(),
            PublishCommand(),
            VmListCommand(),
            WeightStoreCommand(),
            EngineCommand(),
            PlainServiceCommand(),
            RankGroupCommand(),
        )
        .main(arguments)
}
