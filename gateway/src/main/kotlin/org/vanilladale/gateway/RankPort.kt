package org.vanilladale.gateway

import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.groupswitch.OrderAnswer
import org.vanilladale.core.groupswitch.RankOrder
import org.vanilladale.core.groupswitch.RankReport
import org.vanilladale.schema.Step

/** How often the requests of one rank chose each expert since it started, by set of layers. */
public data class ExpertUsage(val epoch: Long, val step: Step, val counts: List<Long>) {
    /** Returns what was chosen since [earlier], or null when the rank started anew in between. */
    public fun countsSince(earlier: ExpertUsage): List<Long>? {
        if (epoch != earlier.epoch || counts.size != earlier.counts.size) return null
        return counts.zip(earlier.counts, Long::minus).takeIf { all -> all.all { it >= 0 } }
    }
}

/** Experts that one rank holds by set of layers, and the version of the map that says so. */
public data class LoadedExperts(val epoch: Long, val version: Long, val bySet: List<List<Int>>)

/** Questions and orders to the ranks of groups. No function throws for a failure of a rank. */
public interface RankPort {
    /** Returns the state of [rank], or null without an answer. */
    public suspend fun report(rank: KnownTarget): RankReport?

    /** Returns what [rank] chose, or null without an answer. */
    public suspend fun expertUsage(rank: KnownTarget): ExpertUsage?

    /** Returns what [rank] holds, or null without an answer. */
    public suspend fun loadedExperts(rank: KnownTarget): LoadedExperts?

    /** Gives [command] to [rank]; it fails once the group has left formation [epoch]. */
    public suspend fun sendCommand(rank: KnownTarget, command: RankOrder, epoch: Long): OrderAnswer
}
