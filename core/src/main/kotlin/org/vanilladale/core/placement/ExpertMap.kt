package org.vanilladale.core.placement

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import java.security.MessageDigest
import org.vanilladale.schema.Digest
import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.Rank

private const val HEXADECIMAL_FORMAT = "%02x"

/**
 * Ranks of each expert of a layer, immutable and checked.
 *
 * Each expert has at least one copy, at most one a rank, and no rank exceeds its memory slots. The
 * tokens of an expert are split evenly over its copies.
 */
public class ExpertMap private constructor(
    public val rankCount: Int,
    public val slotsPerRank: Int,
    private val ranks: List<List<Rank>>,
) {
    public val expertCount: Int get() = ranks.size

    /** Number of copies of all experts. */
    public val copyCount: Int get() = ranks.sumOf { it.size }

    /** Digest of the group's size and of every copy; equal maps have equal digests. */
    public val digest: Digest by lazy { digestOf() }

    /** Returns the ranks that hold [expert], in ascending order. */
    public fun ranksOf(expert: ExpertId): List<Rank> = ranks[expert.value]

    /** Returns the experts on [rank], in ascending order. */
    public fun expertsOn(rank: Rank): List<ExpertId> =
        ranks.indices.filter { rank in ranks[it] }.map(::ExpertId)

    /** Returns the copies of this map that [earlier] does not have; each is one weight load. */
    public fun copiesMissingIn(earlier: ExpertMap): List<ExpertCopy> =
        ranks.flatMapIndexed { index, held ->
            val before = earlier.ranks.getOrNull(index).orEmpty()
            held.filter { it !in before }.map { ExpertCopy(ExpertId(index), it) }
        }

    override fun equals(other: Any?): Boolean = other is ExpertMap &&
        rankCount == other.rankCount && slotsPerRank == other.slotsPerRank && ranks == other.ranks

    override fun hashCode(): Int = ranks.hashCode()

    override fun toString(): String =
        "$expertCount experts, $copyCount copies on $rankCount ranks of $slotsPerRank slots"

    private fun digestOf(): Digest {
        val text = ranks.joinToString(";", "$rankCount/$slotsPerRank:") { it.joinToString(",") }
        val bytes = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
        return Digest.parse(bytes.joinToString("") { HEXADECIMAL_FORMAT.format(it) })
    }

    public companion object {
        /** Checks and wraps [ranks], the ranks of each expert by index. */
        public fun fromRanks(
            rankCount: Int,
            slotsPerRank: Int,
            ranks: List<List<Rank>>,
        ): Either<ExpertMapFault, ExpertMap> {
            val fault = faultOrNull(rankCount, slotsPerRank, ranks)
            return fault?.left()
                ?: ExpertMap(rankCount, slotsPerRank, ranks.map { it.sorted() }).right()
        }

        /**
         * Spreads [expertCount] experts over the ranks in turn, one copy each.
         *
         * @throws IllegalArgumentException if the slots do not suffice
         */
        public fun evenly(rankCount: Int, slotsPerRank: Int, expertCount: Int): ExpertMap =
            fromRanks(
                rankCount,
                slotsPerRank,
                List(expertCount) { listOf(Rank(it % rankCount.coerceAtLeast(1))) },
            ).getOrElse { throw IllegalArgumentException(it.message) }
    }
}

private fun faultOrNull(
    rankCount: Int,
    slotsPerRank: Int,
    ranks: List<List<Rank>>,
): ExpertMapFault? {
    if (rankCount < 1 || slotsPerRank < 1) return ExpertMapFault.NoSlots(rankCount, slotsPerRank)
    val copies = IntArray(rankCount)
    ranks.forEachIndexed { index, held ->
        val expert = ExpertId(index)
        if (held.isEmpty()) return ExpertMapFault.Unplaced(expert)
        val seen = mutableSetOf<Rank>()
        for (rank in held) {
            if (rank.value !in 0 until rankCount) {
                return ExpertMapFault.UnknownRank(expert, rank, rankCount)
            }
            if (!seen.add(rank)) return ExpertMapFault.DuplicateCopy(expert, rank)
            copies[rank.value]++
        }
    }
    val full = copies.indices.firstOrNull { copies[it] > slotsPerRank } ?: return null
    return ExpertMapFault.SlotsExceeded(Rank(full), copies[full], slotsPerRank)
}
