package org.vanilladale.core.rankgroup

import org.junit.jupiter.api.Test
import org.vanilladale.schema.Digest
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.MapPrepare
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Term
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull

/** Guards against ranks that build a map that differs from the one identified by the digest. */
class GroupMapTest {
    private val term = Term(4)
    private val base = map(listOf(0), listOf(1), listOf(0, 1), listOf(2))
    private val baseDigest = base.digestUnder(Term(3))
    private val next = map(listOf(0), listOf(1, 2), listOf(0, 1), listOf(2))
    private val change = next.deltaFrom(MapBase(baseDigest, base), prepare(next))

    private fun map(vararg ranks: List<Int>) =
        GroupMap.of(ranks.map { ids -> CopySet.evenly(ids.map { Rank(it) }) })

    private fun prepare(map: GroupMap): MapPrepare =
        map.toPrepare(GroupId.parse("group"), term, map.digestUnder(term))

    @Test
    fun `the digest covers copies, weights and term`() {
        val weighted = GroupMap.of(
            next.copySets.map {
                if (it.ranks.size == 2) {
                    CopySet.fromRanks(it.ranks, listOf(1, 2))
                } else {
                    it
                }
            },
        )
        val equal = GroupMap.of(
            next.copySets.map {
                CopySet.fromRanks(it.ranks, it.ranks.map { 7 })
            },
        )
        expectThat(weighted.digestUnder(term)).isNotEqualTo(next.digestUnder(term))
        expectThat(equal.digestUnder(term)).isEqualTo(next.digestUnder(term))
        expectThat(base.digestUnder(term)).isNotEqualTo(next.digestUnder(term))
        expectThat(next.digestUnder(Term(5))).isNotEqualTo(next.digestUnder(term))
        listOf(weighted, next, base).forEach {
            expectThat(MapStore().prepareOrNull(prepare(it), baseDigest)).isEqualTo(it)
        }
    }

    @Test
    fun `a delta is applied only to the base that it names`() {
        expectThat(change.experts).isEqualTo(listOf(1))
        val known = MapStore().apply { put(baseDigest, base) }
        expectThat(known.prepareOrNull(change, Digest.parse("other"))).isEqualTo(next)
        val stale = MapStore().apply { put(Digest.parse("stale"), base) }
        expectThat(stale.prepareOrNull(change, Digest.parse("stale"))).isNull()
    }

    @Test
    fun `inconsistent lists and a wrong digest are rejected`() {
        val store = MapStore().apply { put(baseDigest, base) }
        listOf(
            change.copy(experts = listOf(4)),
            change.copy(experts = listOf(-1)),
            change.copy(experts = listOf(1, 0)),
            change.copy(copies = listOf(3)),
            change.copy(copies = emptyList()),
            change.copy(weights = listOf(1)),
            change.copy(weights = listOf(0, 1)),
            change.copy(placement = listOf(Rank(1), Rank(1))),
            change.copy(digest = Digest.parse("other")),
            prepare(next).copy(copies = listOf(1, -1, 3, 1)),
        ).forEach { frame ->
            expectThat(store.prepareOrNull(frame, baseDigest)).isNull()
        }
    }
}
