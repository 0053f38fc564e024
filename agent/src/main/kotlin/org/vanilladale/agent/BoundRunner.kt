package org.vanilladale.agent

import arrow.core.Either
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger
import org.vanilladale.core.once.BoundKey
import org.vanilladale.core.once.Ledger
import org.vanilladale.core.once.SubmitDecision
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Binding
import org.vanilladale.schema.Cancel
import org.vanilladale.schema.CancelResult
import org.vanilladale.schema.CancelState
import org.vanilladale.schema.Frame
import org.vanilladale.schema.RunState
import org.vanilladale.schema.Submit
import org.vanilladale.schema.Timestamp

/**
 * Runs requests with a binding at most once.
 *
 * The first copy runs in [scope], apart from the connection that brought it; each copy waits for
 * the same outcome.
 */
internal class BoundRunner(
    private val scope: CoroutineScope,
    private val ledger: Ledger<BoundOutcome>,
    private val caller: TargetCaller,
    private val slots: SlotQueue,
    private val refusesNewWork: () -> Boolean,
    private val clock: () -> Timestamp,
) {
    private data class Row(val binding: Binding, val key: BoundKey)

    private val running = ConcurrentHashMap<Row, CompletableDeferred<BoundOutcome>>()
    private val answering = AtomicInteger()

    @Volatile
    private var askedUntil = clock().deadlineAfter(0)

    /** Requests that run or wait for a slot, and copies whose answer is not written. */
    val inFlight: Int get() = running.size + answering.get()

    /** True shortly after a request or cancel, while its caller may repeat it. */
    val isAsked: Boolean get() = !askedUntil.hasPassed(clock())

    /** Serves one copy of the request to its outcome and passes each frame to [send]. */
    suspend fun run(
        id: AttemptId,
        submit: Submit,
        binding: Binding,
        send: suspend (Frame) -> Unit,
    ) {
        val row = Row(binding, BoundKey(submit.workspace, submit.key))
        answering.incrementAndGet()
        try {
            val outcome = outcomeOf(id, submit, row)
            BoundAnswer.frames(submit, outcome, slots.load()).forEach { send(it) }
        } finally {
            noteAsked()
            answering.decrementAndGet()
        }
    }

    /** Cancels the bound request that [frame] names; null when it names none. */
    fun cancel(frame: Cancel): CancelResult? {
        val binding = frame.binding ?: return null
        val workspace = frame.workspace ?: return null
        val key = frame.key ?: return null
        noteAsked()
        val state = ledger.cancel(binding, BoundKey(workspace, key), clock())
        return CancelResult(frame.request, frame.attempt, state)
    }

    /** Removes expired ledger rows until the coroutine is cancelled. */
    suspend fun forgetExpiredForever() {
        while (true) {
            delay(FORGET_MILLISECONDS)
            ledger.forgetExpired(clock())
        }
    }

    private fun noteAsked() {
        askedUntil = clock().deadlineAfter(REPEAT_MILLISECONDS)
    }

    private suspend fun outcomeOf(id: AttemptId, submit: Submit, row: Row): BoundOutcome {
        while (true) {
            when (val decision = ledger.submit(row.binding, row.key, submit.deadline, clock())) {
                SubmitDecision.Run -> start(id, submit, row)
                SubmitDecision.Attach -> Unit
                is SubmitDecision.Replay -> return decision.outcome
                is SubmitDecision.Refuse -> return BoundOutcome.Refused(decision.refusal)
            }
            val outcome = running[row]
            if (outcome != null) {
                return withTimeoutOrNull(submit.deadline.millisecondsLeft(clock())) {
                    outcome.await()
                } ?: BoundOutcome.Refused(Refusal(RefusalReason.DEADLINE_PASSED))
            }
            // The outcome was stored, or the first copy is about to start, since the decision.
            delay(ATTACH_MILLISECONDS)
        }
    }

    private fun start(id: AttemptId, submit: Submit, row: Row) {
        val outcome = CompletableDeferred<BoundOutcome>()
        running[row] = outcome
        scope.launch {
            try {
                outcome.complete(execute(id, submit, row))
            } finally {
                // Without an outcome the coroutine failed, and the row must not wait for ever.
                if (!outcome.isCompleted) outcome.complete(withoutOutcome(row, null))
                running.remove(row, outcome)
            }
        }
    }

    private suspend fun execute(id: AttemptId, submit: Submit, row: Row): BoundOutcome {
        if (refusesNewWork()) return withoutOutcome(row, Refusal(RefusalReason.LEAVING))
        val text = StringBuilder()
        val limit = submit.deadline.millisecondsLeft(clock()) + LATE_OUTCOME_MILLISECONDS
        val result = withTimeoutOrNull(limit) {
            slots.withSlot(queuedRequestOf(id, submit)) {
                caller(submit, { mayDispatch(row) }) { text.append(it) }
            }
        }
        return when (result) {
            null -> withoutOutcome(row, Refusal(RefusalReason.DEADLINE_PASSED))
            is Either.Left -> withoutOutcome(row, result.value)
            is Either.Right -> settle(row, result.value, text.toString())
        }
    }

    private fun mayDispatch(row: Row): Refusal? =
        ledger.mayDispatch(row.binding, row.key, clock()).leftOrNull()

    private fun settle(row: Row, result: TargetOutcome, text: String): BoundOutcome =
        when (result) {
            TargetOutcome.Completed -> complete(row, BoundOutcome.Answered(text))

            is TargetOutcome.Failed -> complete(
                row,
                BoundOutcome.Refused(Refusal(result.reason, RunState.UNKNOWN, result.detail)),
            )

            is TargetOutcome.Withheld -> BoundOutcome.Refused(result.refusal)

            is TargetOutcome.Broken, TargetOutcome.Withdrawn -> withoutOutcome(row, null)

            is TargetOutcome.Unreachable ->
                withoutOutcome(row, Refusal(RefusalReason.TARGET_FAILED, detail = result.detail))
        }

    private fun complete(row: Row, outcome: BoundOutcome): BoundOutcome {
        ledger.complete(row.binding, row.key, outcome)
        return outcome
    }

    /** Refuses with [refusal] and `no` when a mark refuses later copies too, else `unknown`. */
    private fun withoutOutcome(row: Row, refusal: Refusal?): BoundOutcome {
        if (ledger.cancel(row.binding, row.key, clock()) == CancelState.CANCELLED) {
            val known = refusal ?: Refusal(RefusalReason.CANCELLED)
            return BoundOutcome.Refused(known.copy(run = RunState.NO))
        }
        ledger.markUnknown(row.binding, row.key)
        Logger.info { "agent: ${row.key.workspace}/${row.key.key} ran with unknown outcome" }
        return BoundOutcome.Refused(Refusal(RefusalReason.OUTCOME_UNKNOWN))
    }

    private companion object {
        const val FORGET_MILLISECONDS = 10_000L
        const val ATTACH_MILLISECONDS = 5L

        /**
         * Covers a caller that lost its entry right after the answer: the entry's silence, a new
         * connection and the repeat.
         */
        const val REPEAT_MILLISECONDS = 4_000L

        /** A dispatched request keeps its slot this long after its deadline for a late answer. */
        const val LATE_OUTCOME_MILLISECONDS = 10_000L
    }
}
