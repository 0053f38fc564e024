package org.vanilladale.bench.routing

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

/** Experiments with the routing, admission and retry decisions of core. */
public class RoutingCommand : CliktCommand("routing") {
    init {
        subcommands(ExperimentCommand(), PlotCommand(), SubsetCommand(), CostCommand())
    }

    override fun help(context: Context): String =
        "Experiments with the routing, admission and retry decisions"

    override fun run(): Unit = Unit
}

private val JSON = Json { prettyPrint = true }

private class ExperimentCommand : CliktCommand("experiment") {
    private val studies by option("--study", help = "Study to run; all when left out")
        .choice(Study.all.associateBy { it.name }).multiple()
    private val seeds by option("--seeds", help = "Runs with seeds 1 to this number")
        .int().default(DEFAULT_SEEDS)
    private val threads by option("--threads").int().default(2)
    private val output by option("--output", help = "Directory for JSON, tables and plots")
        .path().default(Path.of("target/routing"))

    override fun help(context: Context): String = "Paired runs in virtual time"

    override fun run() {
        output.createDirectories()
        for (study in studies.ifEmpty { Study.all }) {
            val results = Experiments.run(study, (1..seeds).toList(), threads)
            output.resolve("${study.name}.json").writeText(JSON.encodeToString(results))
            val tables = ResultTable.format(study, results)
            output.resolve("${study.name}.md").writeText(tables)
            echo(tables)
        }
    }

    private companion object {
        const val DEFAULT_SEEDS = 5
    }
}

private class PlotCommand : CliktCommand("plot") {
    private val input by option("--input", help = "Directory with the JSON of experiment")
        .path().default(Path.of("target/routing"))
    private val output by option("--output").path().default(Path.of("docs/plots"))

    override fun help(context: Context): String = "Plots the results of experiment"

    override fun run() {
        output.createDirectories()
        for (study in Study.all) {
            val file = input.resolve("${study.name}.json")
            if (!file.exists()) continue
            Plots.write(study, JSON.decodeFromString(file.readText()), output)
        }
    }
}

private class SubsetCommand : CliktCommand("subset") {
    private val seed by option("--seed", help = "Chooses the VMs that go").int().default(1)

    override fun help(context: Context): String = "Evenness and churn of the target subsets"

    override fun run() {
        echo(SubsetStudy.table(seed))
    }
}

private class CostCommand : CliktCommand("cost") {
    override fun help(context: Context): String = "Time and memory of the decisions by size"

    override fun run() {
        echo(DecisionCost.table())
    }
}
