package org.vanilladale.core.crash

import org.junit.jupiter.api.Test
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Fingerprint
import org.vanilladale.schema.PrefixId
import org.vanilladale.schema.RequestTrait
import org.vanilladale.schema.SuspectTrait
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class TraitSuspectsTest {
    private val suspects = TraitSuspects()
    private val shared = RequestTrait.ofPart(PrefixId.parse("shared"))
    private val rare = RequestTrait.ofPart(PrefixId.parse("rare"))

    private fun at(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)

    private fun TraitSuspects.refusalAt(part: RequestTrait, milliseconds: Long) =
        refusalOrNull(listOf(part), at(milliseconds))

    @Test
    fun `a part that no target has answered rests after a crash, and the refusal says how long`() {
        suspects.recordCrash(listOf(rare), at(0))
        expectThat(suspects.refusalAt(rare, 100)).isNotNull().and {
            get { reason }.isEqualTo(RefusalReason.SUSPECT_CONTENT)
            get { retryAt }.isEqualTo(at(0).deadlineAfter(1_500))
        }
        expectThat(suspects.refusalAt(rare, 1_500)).isNull()
    }

    @Test
    fun `one request at a time tries a suspect part, and an answer ends the suspicion`() {
        suspects.recordCrash(listOf(rare), at(0))
        val tried = suspects.begin(listOf(shared, rare), at(2_000)).getOrNull()
        expectThat(tried).isEqualTo(setOf(rare))
        expectThat(suspects.begin(listOf(rare), at(2_100)).getOrNull()).isNull()
        suspects.recordAnswer(listOf(shared, rare), at(2_200))
        expectThat(suspects.begin(listOf(rare), at(2_200)).getOrNull()).isEqualTo(emptySet())
    }

    @Test
    fun `a trial that ends without an answer or a crash leaves room for the next one`() {
        suspects.recordCrash(listOf(rare), at(0))
        suspects.begin(listOf(rare), at(2_000)).onRight(suspects::end)
        expectThat(suspects.begin(listOf(rare), at(2_100)).getOrNull()).isEqualTo(setOf(rare))
    }

    @Test
    fun `a refusal for one trait leaves the trial of another one free`() {
        val resting = RequestTrait.ofPart(PrefixId.parse("resting"))
        suspects.recordCrash(listOf(rare), at(0))
        suspects.recordCrash(listOf(resting), at(1_000))
        expectThat(suspects.begin(listOf(rare, resting), at(2_000)).getOrNull()).isNull()
        expectThat(suspects.begin(listOf(rare), at(2_000)).getOrNull()).isEqualTo(setOf(rare))
    }

    @Test
    fun `a request with one suspect trait tries it before one with several`() {
        suspects.recordCrash(listOf(shared, rare), at(0))
        expectThat(suspects.begin(listOf(shared, rare), at(2_000)).getOrNull()).isNull()
        expectThat(suspects.begin(listOf(shared), at(2_000)).getOrNull()).isEqualTo(setOf(shared))
        suspects.recordAnswer(listOf(shared), at(2_200))
        expectThat(suspects.begin(listOf(shared, rare), at(2_200)).getOrNull())
            .isEqualTo(setOf(rare))
    }

    @Test
    fun `a second crash in a row convicts a part for longer, and each further one doubles that`() {
        listOf(0L, 2_000L, 40_000L).forEach { suspects.recordCrash(listOf(rare), at(it)) }
        expectThat(suspects.refusalAt(rare, 99_999)).isNotNull()
        expectThat(suspects.refusalAt(rare, 100_000)).isNull()
    }

    @Test
    fun `one crash is no reason to hold back a part that targets have answered before`() {
        suspects.recordAnswer(listOf(shared), at(0))
        suspects.recordCrash(listOf(shared, rare), at(1_000))
        expectThat(suspects.refusalAt(shared, 1_001)).isNull()
        expectThat(suspects.refusalAt(rare, 1_001)).isNotNull()
    }

    @Test
    fun `one crash is no reason to hold back a content, and a second one is`() {
        val content = contents(0..0)
        suspects.recordCrash(content, at(0))
        expectThat(suspects.refusalOrNull(content, at(1))).isNull()
        suspects.recordCrash(content, at(2_000))
        expectThat(suspects.refusalOrNull(content, at(2_001))).isNotNull()
    }

    @Test
    fun `crashes of one incident count once`() {
        listOf(0L, 400L, 900L).forEach { suspects.recordCrash(listOf(rare), at(it)) }
        expectThat(suspects.refusalAt(rare, 1_500)).isNull()
    }

    @Test
    fun `an entry learns of crashes and answers by the reports of others`() {
        val peer = TraitSuspects()
        suspects.recordCrash(listOf(rare), at(0))
        repeat(3) { peer.merge(suspects.reports(at(50)), at(10_060)) }
        expectThat(peer.refusalAt(rare, 10_100)).isNotNull()
        peer.recordAnswer(listOf(rare), at(10_200))
        suspects.merge(peer.reports(at(10_210)), at(220))
        expectThat(suspects.refusalAt(rare, 230)).isNull()
    }

    @Test
    fun `an entry leaves the trial to another one that has begun it`() {
        val peer = TraitSuspects()
        suspects.recordCrash(listOf(rare), at(0))
        suspects.begin(listOf(rare), at(2_000))
        peer.merge(suspects.reports(at(2_001)), at(2_003))
        expectThat(peer.begin(listOf(rare), at(2_010)).getOrNull()).isNull()
        suspects.recordAnswer(listOf(rare), at(2_200))
        peer.merge(suspects.reports(at(2_201)), at(2_203))
        expectThat(peer.begin(listOf(rare), at(2_210)).getOrNull()).isEqualTo(emptySet())
    }

    @Test
    fun `a trial of an entry that falls silent ends by itself`() {
        val peer = TraitSuspects()
        suspects.recordCrash(listOf(rare), at(0))
        suspects.begin(listOf(rare), at(2_000))
        peer.merge(suspects.reports(at(2_001)), at(2_003))
        expectThat(peer.begin(listOf(rare), at(5_003)).getOrNull()).isEqualTo(setOf(rare))
    }

    @Test
    fun `a report of a crash before the last answer here raises no suspicion`() {
        suspects.recordAnswer(listOf(rare), at(1_000))
        suspects.merge(listOf(SuspectTrait(rare, listOf(200, 5_000))), at(1_100))
        expectThat(suspects.refusalAt(rare, 1_100)).isNull()
    }

    @Test
    fun `the contents in flight at one crash leave the reports soon, a convicted part stays`() {
        suspects.recordCrash(contents(0 until 10) + rare, at(0))
        suspects.recordCrash(contents(10 until 20) + rare, at(2_000))
        expectThat(suspects.reports(at(10_000)).map { it.trait }).isEqualTo(listOf(rare))
    }

    @Test
    fun `the contents in flight at a crash of many targets crowd no part out of the reports`() {
        suspects.recordCrash(contents(0 until 1_000) + rare, at(0))
        expectThat(suspects.reports(at(1)).first().trait).isEqualTo(rare)
    }

    private fun contents(numbers: IntRange) =
        numbers.map { RequestTrait.ofContent(Fingerprint.parse("content-$it")) }

    @Test
    fun `reports stay small, and end when a part is no longer suspect`() {
        val parts = List(10_000) { RequestTrait.ofPart(PrefixId.parse("part-$it")) }
        suspects.recordCrash(parts, at(0))
        expectThat(suspects.reports(at(0)).size).isLessThanOrEqualTo(32)
        suspects.recordAnswer(parts, at(1))
        expectThat(suspects.reports(at(60_000))).isEmpty()
    }
}
