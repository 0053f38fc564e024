package org.vanilladale.core.once

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Binding
import org.vanilladale.schema.CancelState
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RunState
import org.vanilladale.schema.Timestamp

/** Rows of one shard. Callers hold the lock of the shard and have checked the incarnation. */
internal class LedgerShard<O : Any>(
    private val limits: LedgerLimits,
    private val sizeOf: (O) -> Long,
) {
    private val rows = HashMap<BoundKey, LedgerRow<O>>()
    private var markCount = 0
    private var usedBytes = 0L

    /**
     * Latest expiry of a forgotten row. A binding that expires no later counts as expired even if
     * the clock was set back, because its row may have been forgotten.
     */
    private var forgottenThrough = Deadline.fromEpochMilliseconds(Long.MIN_VALUE)

    val size: LedgerSize get() = LedgerSize(rows.size - markCount, markCount, usedBytes)

    fun submit(
        binding: Binding,
        key: BoundKey,
        deadline: Deadline,
        now: Timestamp,
    ): SubmitDecision<O> {
        val row = rows[key]
        return when {
            row != null -> repeat(row, binding)
            isExpired(binding, now) -> refuse(RefusalReason.BINDING_EXPIRED, RunState.UNKNOWN)
            // The run state is unknown, because a delayed copy may be accepted later, when the
            // expiry is within the limit.
            isTooFarAhead(binding, now) -> refuse(
                RefusalReason.BINDING_MALFORMED,
                RunState.UNKNOWN,
                "expiry more than ${limits.longestBindingMilliseconds} ms ahead",
            )
            deadline.hasPassed(now) ->
                refuseWithMark(binding, key, deadline, RefusalReason.DEADLINE_PASSED)
            isFull() -> refuseWithMark(binding, key, deadline, RefusalReason.TARGET_OVERLOADED)
            else -> {
                rows[key] = LedgerRow(binding, deadline, isMark = false, RowState.Waiting)
                usedBytes += limits.maximumOutcomeBytes
                SubmitDecision.Run
            }
        }
    }

    private fun repeat(row: LedgerRow<O>, binding: Binding): SubmitDecision<O> {
        if (row.binding != binding) return refuse(RefusalReason.BINDING_CONFLICT, RunState.UNKNOWN)
        return when (val state = row.state) {
            RowState.Waiting, RowState.Dispatched -> SubmitDecision.Attach
            is RowState.Done -> SubmitDecision.Replay(state.outcome)
            is RowState.Cancelled -> refuse(state.reason, RunState.NO)
            RowState.Unknown -> refuse(RefusalReason.OUTCOME_UNKNOWN, RunState.UNKNOWN)
            RowState.DoneWithoutOutcome -> refuse(
                RefusalReason.OUTCOME_UNKNOWN,
                RunState.UNKNOWN,
                "the request ran; its outcome was too large to store",
            )
        }
    }

    /**
     * Refuses the request with run state `no` if a mark that refuses later copies can be stored,
     * and with `unknown` otherwise.
     */
    private fun refuseWithMark(
        binding: Binding,
        key: BoundKey,
        deadline: Deadline,
        reason: RefusalReason,
    ): SubmitDecision<O> {
        val run = if (addMark(binding, key, deadline, reason)) RunState.NO else RunState.UNKNOWN
        return refuse(reason, run)
    }

    private fun addMark(
        binding: Binding,
        key: BoundKey,
        deadline: Deadline,
        reason: RefusalReason,
    ): Boolean {
        if (markCount >= limits.maximumCancelMarks) return false
        rows[key] = LedgerRow(binding, deadline, isMark = true, RowState.Cancelled(reason))
        markCount++
        return true
    }

    fun mayDispatch(binding: Binding, key: BoundKey, now: Timestamp): Either<Refusal, Unit> {
        val row = rows[key]?.takeIf { it.binding == binding }
        val state = row?.state
        if (state is RowState.Cancelled) return Refusal(state.reason, RunState.NO).left()
        if (row == null || state != RowState.Waiting) {
            return Refusal(RefusalReason.OUTCOME_UNKNOWN, RunState.UNKNOWN).left()
        }
        val late = when {
            row.deadline.hasPassed(now) -> RefusalReason.DEADLINE_PASSED
            isExpired(binding, now) -> RefusalReason.BINDING_EXPIRED
            else -> null
        }
        if (late != null) {
            setState(key, row, RowState.Cancelled(late))
            return Refusal(late, RunState.NO).left()
        }
        setState(key, row, RowState.Dispatched)
        return Unit.right()
    }

    fun complete(binding: Binding, key: BoundKey, outcome: O) {
        val row = rows[key]?.takeIf { it.binding == binding } ?: return
        // A response that arrives after markUnknown is still the outcome of the only dispatch.
        if (row.state != RowState.Dispatched && row.state != RowState.Unknown) return
        val bytes = sizeOf(outcome)
        val free = limits.maximumStoredBytes - usedBytes + bytesOf(row.state)
        val fits = bytes <= limits.maximumOutcomeBytes && bytes <= free
        setState(
            key,
            row,
            if (fits) RowState.Done(outcome, bytes) else RowState.DoneWithoutOutcome,
        )
    }

    fun markUnknown(binding: Binding, key: BoundKey) {
        val row = rows[key]?.takeIf { it.binding == binding } ?: return
        if (row.state == RowState.Dispatched) setState(key, row, RowState.Unknown)
    }

    fun cancel(binding: Binding, key: BoundKey, now: Timestamp): CancelState {
        val row = rows[key]
        if (row == null) {
            val markable = !isExpired(binding, now) && !isTooFarAhead(binding, now)
            val marked = markable &&
                addMark(binding, key, binding.expiresAt, RefusalReason.CANCELLED)
            return if (marked) CancelState.CANCELLED else CancelState.UNKNOWN
        }
        // A copy with this binding may arrive after the row of the other binding is forgotten.
        if (row.binding != binding) return CancelState.UNKNOWN
        return when (row.state) {
            RowState.Waiting -> {
                setState(key, row, RowState.Cancelled(RefusalReason.CANCELLED))
                CancelState.CANCELLED
            }
            RowState.Dispatched -> CancelState.RUNNING
            is RowState.Done, RowState.DoneWithoutOutcome -> CancelState.DONE
            is RowState.Cancelled -> CancelState.CANCELLED
            RowState.Unknown -> CancelState.UNKNOWN
        }
    }

    /** Removes rows in a final state whose binding has expired; rows that wait or run remain. */
    fun forgetExpired(now: Timestamp): Int {
        val expired = rows.filterValues { it.state.isFinal && it.binding.expiresAt.hasPassed(now) }
        expired.forEach { (key, row) ->
            rows.remove(key)
            usedBytes -= bytesOf(row.state)
            if (row.isMark) markCount--
            forgottenThrough = maxOf(forgottenThrough, row.binding.expiresAt)
        }
        return expired.size
    }

    private fun setState(key: BoundKey, row: LedgerRow<O>, state: RowState<O>) {
        rows[key] = row.copy(state = state)
        usedBytes += bytesOf(state) - bytesOf(row.state)
    }

    private fun bytesOf(state: RowState<O>): Long = when (state) {
        RowState.Waiting, RowState.Dispatched -> limits.maximumOutcomeBytes
        is RowState.Done -> state.bytes
        else -> 0
    }

    private fun isFull(): Boolean = rows.size - markCount >= limits.maximumRows ||
        usedBytes + limits.maximumOutcomeBytes > limits.maximumStoredBytes

    private fun isExpired(binding: Binding, now: Timestamp): Boolean =
        binding.expiresAt.hasPassed(now) || binding.expiresAt <= forgottenThrough

    private fun isTooFarAhead(binding: Binding, now: Timestamp): Boolean =
        binding.expiresAt.millisecondsLeft(now) > limits.longestBindingMilliseconds

    private fun refuse(reason: RefusalReason, run: RunState, detail: String? = null) =
        SubmitDecision.Refuse(Refusal(reason, run, detail))
}
