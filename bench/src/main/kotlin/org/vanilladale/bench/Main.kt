package org.vanilladale.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import org.vanilladale.bench.call.CallCommand
import org.vanilladale.bench.membership.MembershipCommand
import org.vanilladale.bench.path.PathCommand
import org.vanilladale.bench.path.PathSlopeCommand
import org.vanilladale.bench.peers.PeersCommand
import org.vanilladale.bench.placement.PlacementCommand
import org.vanilladale.bench.placement.PlacementCostCommand
import org.vanilladale.bench.rollout.RolloutCommand
import org.vanilladale.bench.routing.RoutingCommand

private fun commands(): List<CliktCommand> = listOf(
    CallCommand(),
    MembershipCommand(),
    PathCommand(),
    PathSlopeCommand(),
    PeersCommand(),
    PlacementCommand(),
    PlacementCostCommand(),
    RolloutCommand(),
    RoutingCommand(),
)

/** Starts the program. */
public fun main(arguments: Array<String>) {
    // Plots are drawn on machines without a display.
    System.setProperty("java.awt.headless", "true")
    NoOpCliktCommand(name = "vanilladale-bench").subcommands(commands()).main(arguments)
}
