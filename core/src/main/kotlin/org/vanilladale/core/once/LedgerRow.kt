package org.vanilladale.core.once

import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Binding
import org.vanilladale.schema.Deadline

/** State of a request in the ledger. */
internal sealed interface RowState<out O : Any> {
    /** True when nothing can change the state but a late outcome. */
    val isFinal: Boolean get() = true

    data object Waiting : RowState<Nothing> {
        override val isFinal: Boolean get() = false
    }

    data object Dispatched : RowState<Nothing> {
        override val isFinal: Boolean get() = false
    }

    data class Done<O : Any>(val outcome: O, val bytes: Long) : RowState<O>

    /** Ran, but the outcome was too large to store. */
    data object DoneWithoutOutcome : RowState<Nothing>

    /** Never ran and never will, for [reason]. */
    data class Cancelled(val reason: RefusalReason) : RowState<Nothing>

    data object Unknown : RowState<Nothing>
}

/**
 * @property isMark true when the row was created as a cancel mark, which has its own bound
 */
internal data class LedgerRow<O : Any>(
    val binding: Binding,
    val deadline: Deadline,
    val isMark: Boolean,
    val state: RowState<O>,
)
