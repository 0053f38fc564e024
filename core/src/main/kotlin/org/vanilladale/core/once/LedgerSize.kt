package org.vanilladale.core.once

/**
 * Space that a ledger uses.
 *
 * @property rows number of rows without cancel marks
 * @property bytes size of stored outcomes and of reservations for requests that wait or run
 */
public data class LedgerSize(val rows: Int, val cancelMarks: Int, val bytes: Long) {
    internal operator fun plus(other: LedgerSize): LedgerSize =
        LedgerSize(rows + other.rows, cancelMarks + other.cancelMarks, bytes + other.bytes)
}
