package org.vanilladale.agent

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import org.vanilladale.core.settings.readAgentSettings
import org.vanilladale.runtime.onTermination
import org.vanilladale.runtime.startProgram

private class AgentCommand : CliktCommand("vanilladale-agent") {
    private val settings by option(help = "Settings file, JSON with comments")
        .file(mustExist = true, canBeDir = false)
        .required()
    private val check by option(help = "Check the settings and exit").flag()

    override fun help(context: Context) = "Runs in a target VM's slot and serves its target."

    override fun run() {
        val parsed = readAgentSettings(settings.readText())
            .fold({ faults -> throw CliktError(faults.joinToString("\n") { it.message }) }, { it })
        if (check) return
        val agent = Agent(parsed)
        startProgram(agent::start).onLeft { throw CliktError(it.message) }
        onTermination(agent::leave)
    }
}

/** Starts the agent; see `--help`. */
public fun main(arguments: Array<String>) {
    AgentCommand().main(arguments)
}
