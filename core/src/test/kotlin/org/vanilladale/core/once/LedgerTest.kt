package org.vanilladale.core.once

import org.junit.jupiter.api.Test
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Binding
import org.vanilladale.schema.CancelState
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.RequestKey
import org.vanilladale.schema.RunState
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.WorkspaceId
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

class LedgerTest {
    private val limits = LedgerLimits(
        maximumRows = 2,
        maximumCancelMarks = 1,
        maximumStoredBytes = 30,
        maximumOutcomeBytes = 10,
        longestBindingMilliseconds = 1_000,
        shardCount = 1,
    )
    private val ledger = Ledger<String>(Incarnation(1), limits) { it.length.toLong() }

    private fun at(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)

    private fun key(name: String) = BoundKey(WorkspaceId.parse("w"), RequestKey.parse(name))

    private fun binding(nonce: Long, expiry: Long = 1_000, incarnation: Long = 1) = Binding(
        PoolName.parse("orders"),
        TargetId.parse("orders-1"),
        Incarnation(incarnation),
        nonce,
        Deadline.fromEpochMilliseconds(expiry),
    )

    private fun submit(name: String, binding: Binding, now: Long = 0, deadline: Long = 500) =
        ledger.submit(binding, key(name), Deadline.fromEpochMilliseconds(deadline), at(now))

    private fun dispatch(name: String, binding: Binding, now: Long = 0) =
        ledger.mayDispatch(binding, key(name), at(now)).leftOrNull()

    private fun refused(reason: RefusalReason, run: RunState) =
        SubmitDecision.Refuse(Refusal(reason, run))

    @Test
    fun `a repeat attaches and later replays the outcome, and only one dispatch is allowed`() {
        expectThat(submit("a", binding(1))).isEqualTo(SubmitDecision.Run)
        expectThat(submit("a", binding(1))).isEqualTo(SubmitDecision.Attach)
        expectThat(dispatch("a", binding(1))).isEqualTo(null)
        expectThat(dispatch("a", binding(1))?.run).isEqualTo(RunState.UNKNOWN)
        expectThat(ledger.cancel(binding(1), key("a"), at(0))).isEqualTo(CancelState.RUNNING)
        ledger.markUnknown(binding(1), key("a"))
        expectThat(submit("a", binding(1)))
            .isEqualTo(refused(RefusalReason.OUTCOME_UNKNOWN, RunState.UNKNOWN))
        ledger.complete(binding(1), key("a"), "done")
        expectThat(submit("a", binding(1))).isEqualTo(SubmitDecision.Replay("done"))
        expectThat(ledger.size()).isEqualTo(LedgerSize(1, 0, 4))
    }

    @Test
    fun `refusals have their reason, and run state no only if a mark is stored`() {
        val conflict = refused(RefusalReason.BINDING_CONFLICT, RunState.UNKNOWN)
        val lost = refused(RefusalReason.BINDING_LOST, RunState.UNKNOWN)
        expectThat(submit("a", binding(1, incarnation = 2))).isEqualTo(lost)
        expectThat(submit("a", binding(1, expiry = 1_001))).isA<SubmitDecision.Refuse>()
            .get { refusal.run }.isEqualTo(RunState.UNKNOWN)
        expectThat(submit("a", binding(1), now = 500))
            .isEqualTo(refused(RefusalReason.DEADLINE_PASSED, RunState.NO))
        expectThat(submit("a", binding(1), now = 0))
            .isEqualTo(refused(RefusalReason.DEADLINE_PASSED, RunState.NO))
        expectThat(submit("a", binding(2))).isEqualTo(conflict)
        // The only mark is in use, so the refusal of the next late request must not claim that it
        // did not run.
        expectThat(submit("b", binding(3), now = 500))
            .isEqualTo(refused(RefusalReason.DEADLINE_PASSED, RunState.UNKNOWN))
        expectThat(ledger.cancel(binding(3), key("b"), at(0))).isEqualTo(CancelState.UNKNOWN)
        expectThat(ledger.cancel(binding(2), key("a"), at(0))).isEqualTo(CancelState.UNKNOWN)
    }

    /** Guards against the eviction of a live row and against outcomes that exceed the limit. */
    @Test
    fun `a full ledger refuses and keeps its rows`() {
        submit("a", binding(1))
        submit("b", binding(2))
        expectThat(submit("c", binding(3)))
            .isEqualTo(refused(RefusalReason.TARGET_OVERLOADED, RunState.NO))
        expectThat(submit("d", binding(4)))
            .isEqualTo(refused(RefusalReason.TARGET_OVERLOADED, RunState.UNKNOWN))
        dispatch("a", binding(1))
        ledger.complete(binding(1), key("a"), "more than ten bytes")
        expectThat(submit("a", binding(1))).isA<SubmitDecision.Refuse>()
            .get { refusal.reason }.isEqualTo(RefusalReason.OUTCOME_UNKNOWN)
        expectThat(submit("b", binding(2))).isEqualTo(SubmitDecision.Attach)
        expectThat(ledger.size()).isEqualTo(LedgerSize(2, 1, 10))
    }

    /** Guards against an agent that dispatches late, or after a cancel, when its pause ends. */
    @Test
    fun `a dispatch checks the deadline, the expiry and a cancel again`() {
        submit("a", binding(1))
        expectThat(dispatch("a", binding(1), now = 500))
            .isEqualTo(Refusal(RefusalReason.DEADLINE_PASSED, RunState.NO))
        submit("b", binding(2), deadline = 5_000)
        expectThat(dispatch("b", binding(2), now = 1_000))
            .isEqualTo(Refusal(RefusalReason.BINDING_EXPIRED, RunState.NO))
        ledger.forgetExpired(at(1_000))
        submit("c", binding(3, expiry = 1_900), now = 1_000, deadline = 5_000)
        expectThat(ledger.cancel(binding(3, expiry = 1_900), key("c"), at(1_000)))
            .isEqualTo(CancelState.CANCELLED)
        expectThat(dispatch("c", binding(3, expiry = 1_900), now = 1_000))
            .isEqualTo(Refusal(RefusalReason.CANCELLED, RunState.NO))
    }

    /** Guards against a second run after the agent forgot a row and its clock was set back. */
    @Test
    fun `a forgotten binding stays expired when the clock is set back`() {
        submit("a", binding(1))
        dispatch("a", binding(1))
        submit("b", binding(2))
        ledger.complete(binding(1), key("a"), "done")
        expectThat(ledger.forgetExpired(at(1_000))).isEqualTo(1)
        expectThat(submit("a", binding(1), now = 0))
            .isEqualTo(refused(RefusalReason.BINDING_EXPIRED, RunState.UNKNOWN))
        // The row of a waiting request is not forgotten.
        expectThat(submit("b", binding(2), now = 1_000)).isEqualTo(SubmitDecision.Attach)
    }
}
