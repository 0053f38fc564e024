package org.vanilladale.core.once

import arrow.core.Either
import arrow.core.left
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.shard.Sharded
import org.vanilladale.schema.Binding
import org.vanilladale.schema.CancelState
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.Timestamp

/**
 * Ledger of one agent incarnation that ensures that each request runs at most once. Thread-safe.
 *
 * Every `now` is read from the clock of the agent. Bindings are accepted and forgotten by the same
 * clock, so differences from other clocks do no harm. Whenever a request is refused with run state
 * `no`, a row remains in the ledger that refuses every later copy.
 *
 * @param sizeOf returns the number of bytes that an outcome occupies
 */
public class Ledger<O : Any>(
    private val incarnation: Incarnation,
    limits: LedgerLimits,
    sizeOf: (O) -> Long,
) {
    private val shards = Sharded<BoundKey, LedgerShard<O>>(limits.shardCount) {
        LedgerShard(limits.perShard(), sizeOf)
    }

    /** Decides about one copy of the request. Exactly one copy of a binding gets `Run`. */
    public fun submit(
        binding: Binding,
        key: BoundKey,
        deadline: Deadline,
        now: Timestamp,
    ): SubmitDecision<O> = if (binding.incarnation != incarnation) {
        SubmitDecision.Refuse(Refusal(RefusalReason.BINDING_LOST))
    } else {
        shards.withShard(key) { it.submit(binding, key, deadline, now) }
    }

    /**
     * Records the dispatch of the request. The dispatch is refused if the deadline has passed, the
     * binding has expired, or the request was cancelled or dispatched before. Call this function
     * immediately before the request is sent to the service, and send the request at most once.
     */
    public fun mayDispatch(
        binding: Binding,
        key: BoundKey,
        now: Timestamp,
    ): Either<Refusal, Unit> = if (binding.incarnation != incarnation) {
        Refusal(RefusalReason.BINDING_LOST).left()
    } else {
        shards.withShard(key) { it.mayDispatch(binding, key, now) }
    }

    /** Stores the outcome of a dispatched request, even after [markUnknown]. */
    public fun complete(binding: Binding, key: BoundKey, outcome: O) {
        shards.withShard(key) { it.complete(binding, key, outcome) }
    }

    /** Records that the response of a dispatched request is lost. */
    public fun markUnknown(binding: Binding, key: BoundKey) {
        shards.withShard(key) { it.markUnknown(binding, key) }
    }

    /**
     * Cancels the request unless it was dispatched. For a binding without a row, a cancel mark is
     * stored. Only `CANCELLED` means that the request has not run and never will.
     */
    public fun cancel(binding: Binding, key: BoundKey, now: Timestamp): CancelState =
        if (binding.incarnation != incarnation) {
            CancelState.UNKNOWN
        } else {
            shards.withShard(key) { it.cancel(binding, key, now) }
        }

    /** Removes finished rows whose binding has expired, and returns their number. */
    public fun forgetExpired(now: Timestamp): Int = shards.mapShards { it.forgetExpired(now) }.sum()

    /** Returns the space in use. The shards are read one after the other, not atomically. */
    public fun size(): LedgerSize = shards.mapShards { it.size }.reduce(LedgerSize::plus)
}
