package org.vanilladale.core.once

/**
 * Bounds of a [Ledger]. Each shard gets an equal part, so a shard may be full slightly before the
 * whole ledger is.
 *
 * @property maximumRows requests that waited, run or ran and are not forgotten yet
 * @property maximumCancelMarks marks of bindings that were refused before they waited
 * @property maximumStoredBytes outcomes stored and reserved for requests that wait or run
 * @property maximumOutcomeBytes largest outcome that is stored, reserved while a request waits or
 * runs
 * @property longestBindingMilliseconds largest distance of a binding's expiry from now
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
        require(maximumRows >= shardCount) { "allow at least one row a shard" }
        require(maximumStoredBytes / shardCount >= maximumOutcomeBytes) {
            "allow at least one outcome of maximumOutcomeBytes a shard"
        }
    }

    internal fun perShard(): LedgerLimits = copy(
        maximumRows = maximumRows / shardCount,
        maximumCancelMarks = maximumCancelMarks / shardCount,
        maximumStoredBytes = maximumStoredBytes / shardCount,
        shardCount = 1,
    )
}
