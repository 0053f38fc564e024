package org.vanilladale.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

internal class StatusCommand : CliktCommand("status") {
    private val process by ProcessOptions()
    private val json by option(help = "Print JSON").flag()

    override fun help(context: Context) = "Shows the state of a running entry or agent."

    override fun run() {
        val text = process.read("/v1/status")
        if (json) {
            echo(text)
        } else {
            print("", Json.parseToJsonElement(text))
        }
    }

    private fun print(path: String, element: JsonElement) {
        when (element) {
            is JsonObject -> element.forEach { (name, value) ->
                print(if (path.isEmpty()) name else "$path.$name", value)
            }

            is JsonArray -> element.forEachIndexed { index, value -> print("$path[$index]", value) }

            is JsonPrimitive -> echo("$path: ${element.content}")
        }
    }
}
