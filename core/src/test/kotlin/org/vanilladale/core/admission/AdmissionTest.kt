package org.vanilladale.core.admission

import org.junit.jupiter.api.Test
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Load
import org.vanilladale.schema.RouteName
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.WorkspaceId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

class AdmissionTest {
    private val now = Timestamp.fromEpochMilliseconds(1_000)
    private val route = RouteName.parse("draft")
    private val large = WorkspaceId.parse("large")

    @Test
    fun `a request is refused at once if its predicted wait and service miss the deadline`() {
        // Each case: running, waiting, milliseconds left, admitted. All cases have a service time
        // of one second and four slots.
        val cases = listOf(
            listOf(3, 0, 1_000, true),
            listOf(3, 0, 999, false),
            listOf(4, 4, 2_250, true),
            listOf(4, 4, 2_249, false),
            listOf(0, 0, 1, true),
            listOf(0, 0, 0, false),
        )
        for (case in cases) {
            val (running, waiting, left) = case.take(3).map { it as Int }
            val load = Load(running, waiting, 4, now, serviceMicroseconds = 1_000_000)
            val answer = DeadlineAdmission.admit(load, now.deadlineAfter(left.toLong()), now)
            expectThat(answer.isRight()).describedAs("$case").isEqualTo(case[3] as Boolean)
        }
        val busy = Load(4, 4, 4, now, serviceMicroseconds = 1_000_000)
        val refusal = DeadlineAdmission.admit(busy, now.deadlineAfter(2_000), now).leftOrNull()
        expectThat(refusal?.reason).isEqualTo(RefusalReason.DEADLINE_TOO_SHORT)
        expectThat(refusal?.retryAt).isEqualTo(Deadline.fromEpochMilliseconds(1_250))
    }

    @Test
    fun `the estimate decreases after requests become faster`() {
        val service = ServiceTime()
        service.record(1_000_000)
        repeat(50) { service.record(100_000) }
        expectThat(service.microseconds).isLessThanOrEqualTo(110_000)
    }

    @Test
    fun `the slow first sample of a new process fades within a few requests`() {
        val service = ServiceTime()
        service.record(500_000)
        repeat(9) { service.record(20_000) }
        expectThat(service.microseconds).isLessThanOrEqualTo(70_000)
    }

    @Test
    fun `a large workspace that came first cannot starve small ones`() {
        val limit = WorkspaceLimit(capacity = 20)
        val admitted = { workspace: WorkspaceId, wanted: Int ->
            List(wanted) { limit.admit(workspace, route, 100) }.count { it.isRight() }
        }
        expectThat(admitted(large, 50)).isEqualTo(20)
        val small = List(4) { WorkspaceId.parse("small-$it") }
        small.forEach { expectThat(admitted(it, 3)).describedAs("$it").isEqualTo(3) }
        expectThat(admitted(large, 1)).isEqualTo(0)
        repeat(13) { limit.release(large, route) }
        expectThat(admitted(large, 50)).describedAs("max-min share").isEqualTo(1)
        expectThat(limit.inFlight).isEqualTo(20)
        small.forEach { workspace -> repeat(3) { limit.release(workspace, route) } }
        repeat(30) { limit.release(large, route) }
        expectThat(limit.inFlight).isEqualTo(0)
        expectThat(limit.workspaces).isEqualTo(0)
    }

    @Test
    fun `the limit of a route applies and requests beyond the capacity are bounded`() {
        val limit = WorkspaceLimit(capacity = 20)
        repeat(8) { limit.admit(large, route, 8) }
        expectThat(limit.admit(large, route, 8).leftOrNull()?.reason)
            .isEqualTo(RefusalReason.WORKSPACE_LIMIT)
        expectThat(limit.admit(large, RouteName.parse("other"), 8).isRight()).isEqualTo(true)
        repeat(60) { index -> limit.admit(WorkspaceId.parse("w-${index % 6}"), route, 100) }
        expectThat(limit.inFlight).isGreaterThanOrEqualTo(20).isLessThanOrEqualTo(47)
    }
}
