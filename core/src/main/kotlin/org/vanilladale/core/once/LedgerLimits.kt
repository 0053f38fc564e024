package org.vanilladale.core.once

/**
 * Limits of a [Ledger]. Each shard gets an equal part, so a shard may be full slightly before the
 * whole ledger is.
 *
 * @property maximumRows maximum number of requests that were queued and are not forgotten yet
 * @property maximumCancelMarks maximum number of marks for requests that were refused or cancelled
 *   before they were queued
 * @property maximumStoredBytes maximum size of all stored outcomes and of the reservations for
 *   requests that wait or run
 * @property maximumOutcomeBytes maximum size of a stored outcome; this size is reserved while a
 *   request waits or runs
 * @property longestBindingMilliseconds maximum time from now until the expiry of a binding
 */
public data class LedgerLimits(
    val maximumRows: Int = 65_536,
    val maximumCancelMarks: Int = 16_384,
    val maximumStoredBytes: Long = 33_554_432,
    val maximumOutcomeBytes: Long = 65_536,
    val longestBindingMilliseconds: Long = 600_000,
    val shardCount: Int = 16,
) {
    init {
        require(shardCount > 0) { "shardCount must be positive; found $shardCount" }
        require(maximumRows >= shardCount) { "allow at least one row per shard" }
        require(maximumStoredBytes / shardCount >= maximumOutcomeBytes) {
            "allow at least one outcome of maximumOutcomeBytes per shard"
        }
    }

    internal fun perShard(): LedgerLimits = copy(
        maximumRows = maximumRows / shardCount,
        maximumCancelMarks = maximumCancelMarks / shardCount,
        maximumStoredBytes = maximumStoredBytes / shardCount,
        shardCount = 1,
    )
}
