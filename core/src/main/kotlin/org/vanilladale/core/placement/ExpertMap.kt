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
 * Validated, immutable placement of the experts of a layer on the ranks of a group.
 *
 * Each expert has at least one copy and at most one per rank, and no rank holds more copies than it
 * has memory slots. The tokens of an expert are split evenly between its copies.
 */
public class ExpertMap private constructor(
    public val rankCount: Int,
    public val slotsPerRank: Int,
    private val ranks: List<List<Rank>>,
) {
    public val expertCount: Int get() = ranks.size

    /** Total number of copies of all experts. */
    public val copyCount: Int get() = ranks.sumOf { it.size }

    /** Digest of the group's size and of all copies. Equal maps have equal digests. */
    public val digest: Digest by lazy { digestOf() }

    /** Returns the ranks that hold [expert], in ascending order. */
    public fun ranksOf(expert: ExpertId): List<Rank> = ranks[expert.value]

    /** Returns the experts on [rank], in ascending order. */
    public fun expertsOn(rank: Rank): List<ExpertId> =
        ranks.indices.filter { rank in ranks[it] }.map(::ExpertId)

    /**
     * Returns the copies of this map that [earlier] does not have. A switch from [earlier] to this
     * map loads the weights of each of them.
     */
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
        /** Returns the map with the given [ranks] of each expert, or the fault that it has. */
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
         * Assigns one copy of each of [expertCount] experts to the ranks in rotation.
         *
         * @throws IllegalArgumentException if the ranks have too few slots
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
