package org.vanilladale.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.vanilladale.core.configuration.JoinedTables
import org.vanilladale.core.configuration.TableFault

internal class CheckCommand : CliktCommand("check") {
    private val tables by TablesOptions()
    private val json by option(help = "Print JSON").flag()

    override fun help(context: Context) =
        "Checks both tables and their join without any process of the system."

    override fun run() {
        tables.read().fold(::reportFaults, ::reportTables)
    }

    private fun reportFaults(faults: List<TableFault>) {
        if (json) {
            val rows = buildJsonArray {
                faults.forEach { fault ->
                    add(
                        buildJsonObject {
                            put("place", fault.place)
                            put("found", fault.found)
                            put("remedy", fault.remedy)
                        },
                    )
                }
            }
            echo(buildJsonObject { put("faults", rows) })
        } else {
            faults.forEach { echo(it.toString()) }
        }
        throw ProgramResult(ExitCode.FAULTS)
    }

    private fun reportTables(joined: JoinedTables) {
        if (json) {
            echo(buildJsonObject { put("faults", buildJsonArray { }) })
            return
        }
        joined.tables.routes.forEach { route ->
            val pool = joined.poolOf(route)
            echo("${route.kind} -> ${pool.name} (${pool.type.code}, ${pool.targets.size} targets)")
        }
        echo("${joined.tables.routes.size} routes and ${joined.tables.pools.size} pools, no faults")
    }
}
