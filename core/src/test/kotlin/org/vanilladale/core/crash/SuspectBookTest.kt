package org.vanilladale.core.crash

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.CrashId
import org.vanilladale.schema.CrashReport
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RequestKey
import org.vanilladale.schema.RequestKind
import org.vanilladale.schema.RunState
import org.vanilladale.schema.Suspect
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.WorkspaceId
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull

class SuspectBookTest {
    private val now = Timestamp.fromEpochMilliseconds(0)
    private val expiry = now.deadlineAfter(1_000)
    private val live = List(3) { TargetId.parse("model-$it") }
    private val book = SuspectBook(SuspectLimits(maximumRecords = 4, shardCount = 1))

    private fun request(key: String, content: String = key) = RequestFingerprints.fromRequest(
        WorkspaceId.parse("w"),
        RequestKind.parse("draft"),
        RequestKey.parse(key),
        content.toByteArray(),
    )

    private fun crash(id: String, request: RequestFingerprints, expiresAt: Deadline = expiry) =
        InFlightBook<Int>().run {
            start(1, request, isolated = false)
            crash(CrashId.parse(id), expiresAt)
        }

    private fun convicted(run: RunState) =
        SuspectDecision.Refuse(Refusal(RefusalReason.SUSPECT_CONVICTED, run))

    @Test
    fun `one crash isolates, two convict by key and by content, a success clears`() {
        val a = request("a")
        expectThat(book.decide(a, live, now)).isEqualTo(SuspectDecision.Run)
        expectThat(book.merge(crash("1", a), now)).isEqualTo(crash("1", a))
        expectThat(book.merge(crash("1", a), now)).isNull()
        val isolated = book.decide(a, live, now)
        expectThat(isolated).isA<SuspectDecision.RunIsolated>()
        expectThat(book.decide(a, live.reversed(), now)).isEqualTo(isolated)
        expectThat(book.decide(a, emptyList(), now)).isA<SuspectDecision.Refuse>()
        book.clear(a, now)
        book.merge(crash("1", a), now)
        expectThat(book.decide(a, live, now)).isEqualTo(SuspectDecision.Run)
        book.merge(crash("2", a), now)
        expectThat(book.decide(a, live, now)).isEqualTo(isolated)
        book.merge(crash("3", a), now)
        expectThat(book.decide(a, live, now)).isEqualTo(convicted(RunState.UNKNOWN))
        expectThat(book.decide(request("a", "changed"), live, now))
            .isEqualTo(convicted(RunState.UNKNOWN))
        expectThat(book.decide(request("b", "a"), live, now)).isEqualTo(convicted(RunState.NO))
        val later = Timestamp.fromEpochMilliseconds(1_000)
        expectThat(book.decide(a, live, later)).isEqualTo(SuspectDecision.Run)
        expectThat(book.forgetExpired(later)).isEqualTo(2)
    }

    /** Guards against entries that decide differently after the same reports. */
    @Test
    fun `reports merge in any order and repeatedly`() {
        val requests = List(5) { request("r$it") }
        repeat(300) { seed ->
            val random = Random(seed)
            val reports = List(12) {
                val report = crash("c${random.nextInt(6)}", requests.random(random))
                val cleared = random.nextBoolean()
                CrashReport(report.suspects.map { it.copy(cleared = cleared) })
            }
            val decisions = List(3) {
                val other = SuspectBook(SuspectLimits())
                (reports + reports.take(5)).shuffled(random).forEach { other.merge(it, now) }
                val copy = SuspectBook(SuspectLimits())
                other.reports(now).forEach { copy.merge(it, now) }
                requests.map { copy.decide(it, live, now) }
            }
            expectThat(decisions.toSet().size).isEqualTo(1)
        }
    }

    /** Guards against a suspect that starts before reports of crashes close by have arrived. */
    @Test
    fun `each new crash moves the settling time and agents refuse what an entry missed`() {
        val a = request("a")
        book.merge(crash("1", a), now)
        expectThat((book.decide(a, live, now) as SuspectDecision.RunIsolated).settledAt)
            .isEqualTo(now.deadlineAfter(500))
        val later = Timestamp.fromEpochMilliseconds(100)
        book.merge(crash("1", a), later)
        expectThat((book.decide(a, live, later) as SuspectDecision.RunIsolated).settledAt)
            .isEqualTo(now.deadlineAfter(500))
        val waiting = Refusal(RefusalReason.SUSPECT_WAITING, RunState.UNKNOWN)
        expectThat(book.startRefusalOrNull(a, isolated = false, later)).isEqualTo(waiting)
        expectThat(book.startRefusalOrNull(a, isolated = true, later)).isNull()
        expectThat(book.startRefusalOrNull(request("b", "a"), isolated = false, later))
            .isEqualTo(waiting.copy(run = RunState.NO))
        book.merge(crash("2", a), later)
        expectThat(book.startRefusalOrNull(a, isolated = true, later)?.reason)
            .isEqualTo(RefusalReason.SUSPECT_CONVICTED)
    }

    /** Guards against a copy that goes on sharing its target after a crash elsewhere. */
    @Test
    fun `copies of a suspect that share their target are found`() {
        val flights = InFlightBook<Int>()
        flights.start(1, request("a", "same"), isolated = false)
        flights.start(2, request("b"), isolated = false)
        flights.start(3, request("c", "same"), isolated = false)
        val report = crash("1", request("other", "same"))
        expectThat(flights.sharedCopiesOf(report)).isEqualTo(listOf(1, 3))
        val cleared = CrashReport(report.suspects.map { it.copy(cleared = true) })
        expectThat(flights.sharedCopiesOf(cleared)).isEqualTo(emptyList())
        listOf(1, 2, 3).forEach(flights::stop)
        flights.start(4, request("a", "same"), isolated = true)
        expectThat(flights.sharedCopiesOf(report)).isEqualTo(emptyList())
    }

    /** Guards against growth by a flood of reports, and against losing the worst suspect to it. */
    @Test
    fun `a full book keeps the convicted and an expiry can't lie too far ahead`() {
        val worst = request("worst")
        book.merge(crash("1", worst), now)
        book.merge(crash("2", worst), now)
        repeat(50) { book.merge(crash("$it", request("r$it")), now) }
        expectThat(book.size()).isEqualTo(4)
        expectThat(book.decide(worst, live, now)).isEqualTo(convicted(RunState.UNKNOWN))
        val flood = List(500) { CrashId.parse("c$it") }
        val far = Deadline.fromEpochMilliseconds(Long.MAX_VALUE)
        book.merge(CrashReport(listOf(Suspect(worst.content, flood, false, far))), now)
        expectThat(book.reports(now).flatMap { it.suspects }.maxOf { it.crashes.size })
            .isEqualTo(64)
        val later = Timestamp.fromEpochMilliseconds(SuspectLimits().longestRecordMilliseconds)
        book.forgetExpired(later)
        expectThat(book.size()).isEqualTo(0)
    }

    @Test
    fun `an isolated request is alone in flight and is not starved`() {
        val flights = InFlightBook<Int>()
        fun start(id: Int, isolated: Boolean) = flights.start(id, request("$id"), isolated)
        expectThat(start(1, false)).isEqualTo(StartDecision.STARTED)
        expectThat(start(2, true)).isEqualTo(StartDecision.WAIT)
        expectThat(start(3, false)).isEqualTo(StartDecision.WAIT)
        flights.stop(1)
        expectThat(start(2, true)).isEqualTo(StartDecision.STARTED)
        expectThat(start(3, false)).isEqualTo(StartDecision.WAIT)
        expectThat(start(4, true)).isEqualTo(StartDecision.WAIT)
        expectThat(start(5, true)).isEqualTo(StartDecision.WAIT)
        flights.stop(4)
        val report = flights.crash(CrashId.parse("c"), expiry)
        expectThat(report.suspects.map { it.fingerprint })
            .isEqualTo(request("2").let { listOf(it.content, it.key) })
        // A wait from before the crash must not hold back the target after it.
        expectThat(start(3, false)).isEqualTo(StartDecision.STARTED)
        expectThat(request("x", "y").content).isNotEqualTo(request("x", "z").content)
    }
}
