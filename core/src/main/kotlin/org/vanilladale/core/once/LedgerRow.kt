package org.vanilladale.core.once

import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Binding
import org.vanilladale.schema.Deadline

/** State of a request in the ledger. */
internal sealed interface RowState<out O : Any> {
    /** Whether only a late outcome can still change the state. */
    val isFinal: Boolean get() = true

    /** Queued and not dispatched yet. */
    data object Waiting : RowState<Nothing> {
        override val isFinal: Boolean get() = false
    }

    /** Sent to the service; the outcome is pending. */
    data object Dispatched : RowState<Nothing> {
        override val isFinal: Boolean get() = false
    }

    /** Ran with [outcome], which occupies [bytes]. */
    data class Done<O : Any>(val outcome: O, val bytes: Long) : RowState<O>

    /** Ran, but its outcome was too large to store. */
    data object DoneWithoutOutcome : RowState<Nothing>

    /** Has not run and never will, because of [reason]. */
    data class Cancelled(val reason: RefusalReason) : RowState<Nothing>

    /** Dispatched, but the response was lost. */
    data object Unknown : RowState<Nothing>
}

/**
 * Row of a request in the ledger.
 *
 * @property isMark whether the row was created as a cancel mark; marks have a limit of their own
 */
internal data class LedgerRow<O : Any>(
    val binding: Binding,
    val deadline: Deadline,
    val isMark: Boolean,
    val state: RowState<O>,
)
