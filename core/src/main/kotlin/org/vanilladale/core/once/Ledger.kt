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
 * At-most-once ledger of one agent incarnation, for use from several threads.
 *
 * Every `now` is read from the agent's own clock: accepting and forgetting a binding use the same
 * clock, so a difference to other clocks does no harm. A refusal with run state `no` is always
 * backed by a row that refuses every later copy.
 *
 * @param sizeOf bytes that an outcome occupies
 */
public class Ledger<O : Any>(
    private val incarnation: Incarnation,
    limits: LedgerLimits,
    sizeOf: (O) -> Long,
) {
    private val shards = Sharded<BoundKey, LedgerShard<O>>(limits.shardCount) {
        LedgerShard(limits.perShard(), sizeOf)
    }

    /** Decides about one copy of the request; exactly one copy of a binding gets `Run`. */
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
     * Records the dispatch, or refuses it when the deadline or the binding has passed, the request
     * was cancelled, or it was dispatched before. Call it immediately before the request is sent
     * to the service, and send at most once.
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

    /** Stores the outcome of a dispatched request, also after [markUnknown]. */
    public fun complete(binding: Binding, key: BoundKey, outcome: O) {
        shards.withShard(key) { it.complete(binding, key, outcome) }
    }

    /** Records that the response of a dispatched request is lost. */
    public fun markUnknown(binding: Binding, key: BoundKey) {
        shards.withShard(key) { it.markUnknown(binding, key) }
    }

    /**
     * Cancels the request unless it was dispatched. An unseen binding gets a cancel mark. Only
     * `CANCELLED` means that the request has not run and never will.
     */
    public fun cancel(binding: Binding, key: BoundKey, now: Timestamp): CancelState =
        if (binding.incarnation != incarnation) {
            CancelState.UNKNOWN
        } else {
            shards.withShard(key) { it.cancel(binding, key, now) }
        }

    /** Removes finished rows whose binding has expired; returns their number. */
    public fun forgetExpired(now: Timestamp): Int = shards.mapShards { it.forgetExpired(now) }.sum()

    /** Returns the space in use, one shard after the other. */
    public fun size(): LedgerSize = shards.mapShards { it.size }.reduce(LedgerSize::plus)
}
