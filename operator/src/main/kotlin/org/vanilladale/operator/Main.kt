package org.vanilladale.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

private class OperatorCommand : CliktCommand("vanilladale") {
    override fun help(context: Context) = """
        Checks the two tables and shows what the system does with them.

        Exit codes: 0 success, 1 the tables, settings or request have faults, 2 wrong usage,
        3 the process can't be reached.
    """.trimIndent()

    override fun run() = Unit
}

/** Runs the operator's command line; see `--help`. */
public fun main(arguments: Array<String>) {
    OperatorCommand()
        .subcommands(
            CheckCommand(),
            CheckSettingsCommand(),
            ExplainCommand(),
            MetricsCommand(),
            StatusCommand(),
            TraceCommand(),
        )
        .main(arguments)
}
