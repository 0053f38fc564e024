package org.vanilladale.core.crash

/**
 * Limits of a [SuspectRegistry].
 *
 * @property maximumRecords maximum number of fingerprints; each shard gets an equal part
 * @property maximumLifetimeMilliseconds maximum time until a record expires. A later expiry in a
 * report is reduced to it.
 * @property shardCount number of shards, each of which has its own lock
 * @property settleMilliseconds time after the last known crash before a suspect runs isolated. A
 * copy of the request may crash another target until the first report reaches that target, and the
 * report of that crash takes as long again, so the time covers two reports. Within 500 ms a lost
 * report is also sent again.
 */
public data class SuspectLimits(
    val maximumRecords: Int = 16_384,
    val maximumLifetimeMilliseconds: Long = 3_600_000,
    val shardCount: Int = 16,
    val settleMilliseconds: Long = 500,
) {
    init {
        require(shardCount > 0) { "shardCount must be positive; found $shardCount" }
        require(maximumRecords >= shardCount) {
            "maximumRecords must be at least shardCount, one record per shard"
        }
    }
}
