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

class SuspectRegistryTest {
    private val now = Timestamp.fromEpochMilliseconds(0)
    private val expiry = now.deadlineAfter(1_000)
    private val live = List(3) { TargetId.parse("model-$it") }
    private val registry = SuspectRegistry(SuspectLimits(maximumRecords = 4, shardCount = 1))

    private fun request(key: String, content: String = key) = RequestFingerprints.fromRequest(
        WorkspaceId.parse("w"),
        RequestKind.parse("draft"),
        RequestKey.parse(key),
        content.toByteArray(),
    )

    private fun crash(id: String, request: RequestFingerprints, expiresAt: Deadline = expiry) =
        InFlightRequests<Int>().run {
            start(1, request, isolated = false)
            crash(CrashId.parse(id), expiresAt)
        }

    private fun convicted(run: RunState) =
        SuspectDecision.Refuse(Refusal(RefusalReason.SUSPECT_CONVICTED, run))

    @Test
    fun `one crash isolates, two convict by key and by content and a completed run clears`() {
        val a = request("a")
        expectThat(registry.decide(a, live, now)).isEqualTo(SuspectDecision.Run)
        expectThat(registry.merge(crash("1", a), now)).isEqualTo(crash("1", a))
        expectThat(registry.merge(crash("1", a), now)).isNull()
        val isolated = registry.decide(a, live, now)
        expectThat(isolated).isA<SuspectDecision.RunIsolated>()
        expectThat(registry.decide(a, live.reversed(), now)).isEqualTo(isolated)
        expectThat(registry.decide(a, emptyList(), now)).isA<SuspectDecision.Refuse>()
        registry.clear(a, now)
        registry.merge(crash("1", a), now)
        expectThat(registry.decide(a, live, now)).isEqualTo(SuspectDecision.Run)
        registry.merge(crash("2", a), now)
        expectThat(registry.decide(a, live, now)).isEqualTo(isolated)
        registry.merge(crash("3", a), now)
        expectThat(registry.decide(a, live, now)).isEqualTo(convicted(RunState.UNKNOWN))
        expectThat(registry.decide(request("a", "changed"), live, now))
            .isEqualTo(convicted(RunState.UNKNOWN))
        expectThat(registry.decide(request("b", "a"), live, now)).isEqualTo(convicted(RunState.NO))
        val later = Timestamp.fromEpochMilliseconds(1_000)
        expectThat(registry.decide(a, live, later)).isEqualTo(SuspectDecision.Run)
        expectThat(registry.forgetExpired(later)).isEqualTo(2)
    }

    /** Guards against entries that make different decisions after the same reports. */
    @Test
    fun `the result of merging is independent of order and repetition`() {
        val requests = List(5) { request("r$it") }
        repeat(300) { seed ->
            val random = Random(seed)
            val reports = List(12) {
                val report = crash("c${random.nextInt(6)}", requests.random(random))
                val cleared = random.nextBoolean()
                CrashReport(report.suspects.map { it.copy(cleared = cleared) })
            }
            val decisions = List(3) {
                val other = SuspectRegistry(SuspectLimits())
                (reports + reports.take(5)).shuffled(random).forEach { other.merge(it, now) }
                val copy = SuspectRegistry(SuspectLimits())
                other.reports(now).forEach { copy.merge(it, now) }
                requests.map { copy.decide(it, live, now) }
            }
            expectThat(decisions.toSet().size).isEqualTo(1)
        }
    }

    /** Guards against a suspect that starts before reports of simultaneous crashes arrive. */
    @Test
    fun `only a new crash extends the settling time and agents refuse unreported suspects`() {
        val a = request("a")
        registry.merge(crash("1", a), now)
        expectThat((registry.decide(a, live, now) as SuspectDecision.RunIsolated).settledAt)
            .isEqualTo(now.deadlineAfter(500))
        val later = Timestamp.fromEpochMilliseconds(100)
        registry.merge(crash("1", a), later)
        expectThat((registry.decide(a, live, later) as SuspectDecision.RunIsolated).settledAt)
            .isEqualTo(now.deadlineAfter(500))
        val waiting = Refusal(RefusalReason.SUSPECT_WAITING, RunState.UNKNOWN)
        expectThat(registry.startRefusalOrNull(a, isolated = false, later)).isEqualTo(waiting)
        expectThat(registry.startRefusalOrNull(a, isolated = true, later)).isNull()
        expectThat(registry.startRefusalOrNull(request("b", "a"), isolated = false, later))
            .isEqualTo(waiting.copy(run = RunState.NO))
        registry.merge(crash("2", a), later)
        expectThat(registry.startRefusalOrNull(a, isolated = true, later)?.reason)
            .isEqualTo(RefusalReason.SUSPECT_CONVICTED)
    }

    /** Guards against a copy that keeps running beside others after a crash elsewhere. */
    @Test
    fun `copies of a suspect that do not run isolated are found`() {
        val inFlight = InFlightRequests<Int>()
        inFlight.start(1, request("a", "same"), isolated = false)
        inFlight.start(2, request("b"), isolated = false)
        inFlight.start(3, request("c", "same"), isolated = false)
        val report = crash("1", request("other", "same"))
        expectThat(inFlight.nonIsolatedSuspectsOf(report)).isEqualTo(listOf(1, 3))
        val cleared = CrashReport(report.suspects.map { it.copy(cleared = true) })
        expectThat(inFlight.nonIsolatedSuspectsOf(cleared)).isEqualTo(emptyList())
        listOf(1, 2, 3).forEach(inFlight::stop)
        inFlight.start(4, request("a", "same"), isolated = true)
        expectThat(inFlight.nonIsolatedSuspectsOf(report)).isEqualTo(emptyList())
    }

    /** Guards against unbounded growth by many reports, and against evicting convicted requests. */
    @Test
    fun `a full registry keeps convicted requests and the time until expiry is limited`() {
        val worst = request("worst")
        registry.merge(crash("1", worst), now)
        registry.merge(crash("2", worst), now)
        repeat(50) { registry.merge(crash("$it", request("r$it")), now) }
        expectThat(registry.size()).isEqualTo(4)
        expectThat(registry.decide(worst, live, now)).isEqualTo(convicted(RunState.UNKNOWN))
        val flood = List(500) { CrashId.parse("c$it") }
        val far = Deadline.fromEpochMilliseconds(Long.MAX_VALUE)
        registry.merge(CrashReport(listOf(Suspect(worst.content, flood, false, far))), now)
        expectThat(registry.reports(now).flatMap { it.suspects }.maxOf { it.crashes.size })
            .isEqualTo(64)
        val later = Timestamp.fromEpochMilliseconds(SuspectLimits().maximumLifetimeMilliseconds)
        registry.forgetExpired(later)
        expectThat(registry.size()).isEqualTo(0)
    }

    @Test
    fun `an isolated request is the only one in flight and is not starved`() {
        val inFlight = InFlightRequests<Int>()
        fun start(id: Int, isolated: Boolean) = inFlight.start(id, request("$id"), isolated)
        expectThat(start(1, false)).isEqualTo(StartDecision.STARTED)
        expectThat(start(2, true)).isEqualTo(StartDecision.WAIT)
        expectThat(start(3, false)).isEqualTo(StartDecision.WAIT)
        inFlight.stop(1)
        expectThat(start(2, true)).isEqualTo(StartDecision.STARTED)
        expectThat(start(3, false)).isEqualTo(StartDecision.WAIT)
        expectThat(start(4, true)).isEqualTo(StartDecision.WAIT)
        expectThat(start(5, true)).isEqualTo(StartDecision.WAIT)
        inFlight.stop(4)
        val report = inFlight.crash(CrashId.parse("c"), expiry)
        expectThat(report.suspects.map { it.fingerprint })
            .isEqualTo(request("2").let { listOf(it.content, it.key) })
        // A request that waited before the crash must not block the target after it.
        expectThat(start(3, false)).isEqualTo(StartDecision.STARTED)
        expectThat(request("x", "y").content).isNotEqualTo(request("x", "z").content)
    }
}
