package org.vanilladale.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.file
import org.vanilladale.core.settings.readAgentSettings
import org.vanilladale.core.settings.readEntrySettings

internal class CheckSettingsCommand : CliktCommand("check-settings") {
    private val program by option(help = "Program that reads the settings")
        .choice("entry" to ::readEntrySettings, "agent" to ::readAgentSettings)
        .required()
    private val settings by option(help = "Settings file, JSON with comments")
        .file(mustExist = true, canBeDir = false)
        .required()

    override fun help(context: Context) = "Checks the settings of an entry or agent."

    override fun run() {
        program(settings.readText()).fold(
            { faults ->
                faults.forEach { echo(it.message) }
                throw ProgramResult(ExitCode.FAULTS)
            },
            { echo("${settings.name}: no faults") },
        )
    }
}
