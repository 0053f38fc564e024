package org.vanilladale.entry

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import org.vanilladale.core.settings.readEntrySettings
import org.vanilladale.runtime.onTermination
import org.vanilladale.runtime.startProgram

private class EntryCommand : CliktCommand("vanilladale-entry") {
    private val settings by option(help = "Settings file, JSON with comments")
        .file(mustExist = true, canBeDir = false)
        .required()
    private val check by option(help = "Check the settings and exit").flag()

    override fun help(context: Context) = "Runs on an entry VM and serves callers."

    override fun run() {
        val parsed = readEntrySettings(settings.readText())
            .fold({ faults -> throw CliktError(faults.joinToString("\n") { it.message }) }, { it })
        if (check) return
        val entry = Entry(parsed)
        startProgram(entry::start).onLeft { throw CliktError(it.message) }
        onTermination(entry::leave)
    }
}

/** Starts the entry; see `--help`. */
public fun main(arguments: Array<String>) {
    EntryCommand().main(arguments)
}
