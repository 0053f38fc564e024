package org.vanilladale.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.vanilladale.core.explain.LogLine
import org.vanilladale.core.explain.RequestTrace

internal class TraceCommand : CliktCommand("trace") {
    private val request by option(help = "Id of the request, as its caller sent it").required()
    private val json by option(help = "Print JSON").flag()
    private val logs by argument(help = "Logs of gateways, one JSON object a line")
        .file(mustExist = true, canBeDir = false)
        .multiple(required = true)

    override fun help(context: Context) =
        "Tells a request's story from logs: what was decided, and what went on around it."

    override fun run() {
        val lines = logs.flatMap { log ->
            log.useLines { it.mapNotNull(LogLine::parseOrNull).toList() }
        }
        val story = RequestTrace.fromLogOrNull(request, lines)
        if (story == null) {
            echo("no line names request $request; add the logs of the other processes", err = true)
            throw ProgramResult(ExitCode.FAULTS)
        }
        if (json) echo(asJson(story)) else print(story)
    }

    private fun print(story: RequestTrace) {
        val start = story.lines.first().time
        echo("request $request")
        story.lines.forEach { echo(text(it, start)) }
        echo("around it, from ${RequestTrace.LOOKBACK_MILLISECONDS} ms before")
        story.relatedLines.forEach { echo(text(it, start)) }
    }

    private fun text(line: LogLine, start: Long): String {
        val fields = line.event.filterKeys { it != "kind" && it != "request" }
            .map { (name, value) -> "$name=${(value as? JsonPrimitive)?.content ?: value}" }
        return "%+7d ms  %s  %s  %s".format(
            line.time - start,
            line.vm,
            line.kind,
            fields.joinToString(" "),
        )
    }

    private fun asJson(story: RequestTrace) = buildJsonObject {
        put("request", request)
        put("lines", rows(story.lines))
        put("circumstances", rows(story.relatedLines))
    }

    private fun rows(lines: List<LogLine>) = buildJsonArray {
        lines.forEach { line ->
            add(
                buildJsonObject {
                    put("time", line.time)
                    put("vm", line.vm)
                    put("event", line.event)
                },
            )
        }
    }
}
