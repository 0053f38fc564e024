package org.vanilladale.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.groups.cooccurring
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import java.util.Locale
import kotlinx.serialization.json.Json
import org.vanilladale.core.explain.explainRoute
import org.vanilladale.schema.ExplainReport
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.RequestKind
import org.vanilladale.schema.TargetReport

internal class ExplainCommand : CliktCommand("explain") {
    private val tables by TablesOptions().cooccurring()
    private val process by ProcessOptions().cooccurring()
    private val kind by option(help = "Kind of the request")
        .convert { RequestKind.parseOrNull(it) ?: fail("a kind has 1 to 128 characters") }
        .required()
    private val json by option(help = "Print JSON").flag()

    override fun help(context: Context) =
        "Explains where a request goes, by two files or as a running entry sees it."

    override fun run() {
        val report = process?.let { online(it) } ?: offline()
        if (json) {
            echo(Json.encodeToString(ExplainReport.serializer(), report))
        } else {
            describe(report).forEach { echo(it) }
        }
        if (report.refusal != null) throw ProgramResult(ExitCode.FAULTS)
    }

    private fun online(options: ProcessOptions): ExplainReport {
        val text = options.read("/v1/explain", mapOf("kind" to kind.text))
        return Json.decodeFromString(ExplainReport.serializer(), text)
    }

    private fun offline(): ExplainReport {
        val read = tables?.read() ?: throw UsageError(
            "give --routes and --pools, or --url and --token",
        )
        val joined = read.fold(
            { faults ->
                faults.forEach { echo(it.toString()) }
                throw ProgramResult(ExitCode.FAULTS)
            },
            { it },
        )
        return explainRoute(joined, kind) { _, target -> listed(target) }
    }

    private fun listed(target: PoolTarget) =
        TargetReport(target.target, connected = false, target.dataCentre, "listed")

    private fun describe(report: ExplainReport): List<String> = buildList {
        report.route?.let { route ->
            val promise = if (route.idempotent) "idempotent" else "at most once, needs a binding"
            add("route ${route.name}: kind ${route.kind} -> pool ${route.pool}, $promise")
            add(
                "deadline ${route.deadlineMilliseconds} ms, priority ${route.priority}, " +
                    "retry budget ${route.retryBudgetPercent} %, " +
                    "hedge budget ${route.hedgeBudgetPercent} %, " +
                    "${route.maximumInFlightPerWorkspace} in flight a workspace",
            )
        }
        report.targets.forEach { target ->
            val load = target.load?.let { ", load %.1f".format(Locale.ROOT, it) }.orEmpty()
            add("target ${target.target} in ${target.dataCentre}: ${target.state}$load")
        }
        report.refusal?.let { add("refused: ${it.reason}, run ${it.run.code}. ${it.remedy}") }
    }
}
