package org.vanilladale.gateway

import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.groupswitch.CommandAnswer
import org.vanilladale.core.groupswitch.RankCommand
import org.vanilladale.core.groupswitch.RankReport
import org.vanilladale.schema.Step

/**
 * Number of times that requests of one rank chose each expert since the rank started, by set of
 * layers.
 */
public data class ExpertUsage(val epoch: Long, val step: Step, val counts: List<Long>) {
    /** Returns the counts since [earlier], or null when the rank restarted in between. */
    public fun countsSince(earlier: ExpertUsage): List<Long>? {
        if (epoch != earlier.epoch || counts.size != earlier.counts.size) return null
        return counts.zip(earlier.counts, Long::minus).takeIf { all -> all.all { it >= 0 } }
    }
}

/** Experts that one rank has loaded, by set of layers, and the version of the corresponding map. */
public data class LoadedExperts(val epoch: Long, val version: Long, val bySet: List<List<Int>>)

/** Queries and commands to the ranks of groups. No function throws when a rank fails. */
public interface RankPort {
    /** Returns the state of [rank], or null when it does not answer. */
    public suspend fun report(rank: KnownTarget): RankReport?

    /** Returns the expert usage of [rank], or null when it does not answer. */
    public suspend fun expertUsage(rank: KnownTarget): ExpertUsage?

    /** Returns the experts that [rank] has loaded, or null when it does not answer. */
    public suspend fun loadedExperts(rank: KnownTarget): LoadedExperts?

    /** Sends [command] to [rank]. The command fails once the group has left formation [epoch]. */
    public suspend fun sendCommand(
        rank: KnownTarget,
        command: RankCommand,
        epoch: Long,
    ): CommandAnswer
}
