package org.vanilladale.core.once

import arrow.core.Either
import arrow.core.right
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Binding
import org.vanilladale.schema.CancelState
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.RequestKey
import org.vanilladale.schema.RunState
import org.vanilladale.schema.Timestamp

/** The ledger as the agents of the model use it. Each subclass removes one mechanism. */
internal open class LedgerVariant(protected val incarnation: Incarnation, maximumRows: Int = 64) {
    protected val limits = LedgerLimits(maximumRows, 64, 1_000_000, 100, 4_000, shardCount = 1)
    protected var ledger = newLedger()

    protected fun newLedger() = Ledger<String>(incarnation, limits) { it.length.toLong() }

    open fun submit(binding: Binding, key: BoundKey, deadline: Deadline, now: Timestamp) =
        ledger.submit(binding, key, deadline, now)

    open fun mayDispatch(binding: Binding, key: BoundKey, now: Timestamp): Either<Refusal, Unit> =
        ledger.mayDispatch(binding, key, now)

    open fun complete(binding: Binding, key: BoundKey, outcome: String) =
        ledger.complete(binding, key, outcome)

    fun markUnknown(binding: Binding, key: BoundKey) = ledger.markUnknown(binding, key)

    open fun cancel(binding: Binding, key: BoundKey, now: Timestamp): CancelState =
        ledger.cancel(binding, key, now)

    open fun forgetExpired(now: Timestamp) {
        ledger.forgetExpired(now)
    }
}

/** Runs every copy. */
internal class NoLedger(incarnation: Incarnation) : LedgerVariant(incarnation) {
    override fun submit(binding: Binding, key: BoundKey, deadline: Deadline, now: Timestamp) =
        if (binding.incarnation == incarnation) {
            SubmitDecision.Run
        } else {
            super.submit(binding, key, deadline, now)
        }

    override fun mayDispatch(binding: Binding, key: BoundKey, now: Timestamp) = Unit.right()
}

/** Confirms a cancel of an unknown key without storing a mark. */
internal class ForgetsCancelMarks(incarnation: Incarnation) : LedgerVariant(incarnation) {
    private val seen = mutableSetOf<BoundKey>()

    override fun submit(binding: Binding, key: BoundKey, deadline: Deadline, now: Timestamp) =
        super.submit(binding, key, deadline, now).also { seen += key }

    override fun cancel(binding: Binding, key: BoundKey, now: Timestamp) =
        if (key in seen) super.cancel(binding, key, now) else CancelState.CANCELLED
}

/** Accepts bindings of other incarnations. */
internal class IgnoresIncarnation(incarnation: Incarnation) : LedgerVariant(incarnation) {
    private fun own(binding: Binding) = binding.copy(incarnation = incarnation)

    override fun submit(binding: Binding, key: BoundKey, deadline: Deadline, now: Timestamp) =
        super.submit(own(binding), key, deadline, now)

    override fun mayDispatch(binding: Binding, key: BoundKey, now: Timestamp) =
        super.mayDispatch(own(binding), key, now)

    override fun complete(binding: Binding, key: BoundKey, outcome: String) =
        super.complete(own(binding), key, outcome)

    override fun cancel(binding: Binding, key: BoundKey, now: Timestamp) =
        super.cancel(own(binding), key, now)
}

/** Dispatches requests even if the ledger refuses the dispatch. */
internal class DispatchesUnchecked(incarnation: Incarnation) : LedgerVariant(incarnation) {
    override fun mayDispatch(binding: Binding, key: BoundKey, now: Timestamp) =
        Unit.right().also { super.mayDispatch(binding, key, now) }
}

/** Forgets all rows, including those whose binding has not expired. */
internal class ForgetsEarly(incarnation: Incarnation) : LedgerVariant(incarnation) {
    override fun forgetExpired(now: Timestamp) {
        ledger = newLedger()
    }
}

/** Refuses with run state `no` when full, without a mark that refuses a later copy. */
internal class RefusesWithoutMark(incarnation: Incarnation, rows: Int) :
    LedgerVariant(incarnation) {
    private val maximum = rows

    override fun submit(binding: Binding, key: BoundKey, deadline: Deadline, now: Timestamp) =
        if (ledger.size().rows >= maximum) {
            SubmitDecision.Refuse(Refusal(RefusalReason.TARGET_OVERLOADED, RunState.NO))
        } else {
            super.submit(binding, key, deadline, now)
        }
}

/** Keeps a row for each binding, so that a second binding of the same key runs as well. */
internal class AllowsSecondBinding(incarnation: Incarnation) : LedgerVariant(incarnation) {
    private fun own(binding: Binding, key: BoundKey) =
        key.copy(key = RequestKey.parse("${key.key}/${binding.nonce}"))

    override fun submit(binding: Binding, key: BoundKey, deadline: Deadline, now: Timestamp) =
        super.submit(binding, own(binding, key), deadline, now)

    override fun mayDispatch(binding: Binding, key: BoundKey, now: Timestamp) =
        super.mayDispatch(binding, own(binding, key), now)

    override fun complete(binding: Binding, key: BoundKey, outcome: String) =
        super.complete(binding, own(binding, key), outcome)

    override fun cancel(binding: Binding, key: BoundKey, now: Timestamp) =
        super.cancel(binding, own(binding, key), now)
}
