package org.vanilladale.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.vertx.core.Vertx

internal class RankGroupCommand : CliktCommand("rank-group") {
    private val ports by option(help = "Port of each rank, separated by commas")
        .int()
        .split(",")
        .required()
    private val experts by option(help = "Experts of the layer").int().default(16)
    private val layers by option(help = "Layers with experts").int().default(1)
    private val slotsPerRank by option(help = "Experts of a layer that fit on a rank")
        .int()
        .default(8)
    private val stepMilliseconds by option(help = "Time of a step with even load")
        .long()
        .default(10)
    private val tokens by option(help = "Tokens in an answer").int().default(32)
    private val ignoreFencing by option(help = "Obey orders of any term").flag()
    private val loadMilliseconds by option(help = "Time to load one expert").long().default(5)
    private val driftMilliseconds by option(help = "Time between popularity changes; 0 for none")
        .long()
        .default(0)
    private val seed by option(help = "Seed of the popularity").int().default(1)

    override fun run() {
        val vertx = Vertx.vertx()
        val settings = RankGroup.Settings(
            ranks = ports.size,
            experts = experts,
            slotsPerRank = slotsPerRank,
            stepMilliseconds = stepMilliseconds,
            tokens = tokens,
            keepsFencing = !ignoreFencing,
            loadMilliseconds = loadMilliseconds,
            layers = layers,
        )
        val popularity = GroupLoad(layers, experts, seed)
        if (driftMilliseconds > 0) vertx.setPeriodic(driftMilliseconds) { popularity.drift() }
        RankGroup(vertx, settings, popularity).start(ports)
        echo("rank group listens on ports $ports")
    }
}
