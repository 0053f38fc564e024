package org.vanilladale.core.crash

/**
 * Bounds of a [SuspectRegistry].
 *
 * @property maximumRecords fingerprints remembered; each shard gets an equal part
 * @property maximumLifetimeMilliseconds largest distance of a record's expiry from now; a later
 * expiry in a report is shortened
 * @property settleMilliseconds wait after the last known crash before a suspect runs alone. A copy
 * elsewhere may crash its target until the first report reaches it, and that crash takes as long
 * to become known, so the wait covers two reports; in 500 ms a lost one is sent again.
 */
public data class SuspectLimits(
    val maximumRecords: Int = 16_384,
    val maximumLifetimeMilliseconds: Long = 3_600_000,
    val shardCount: Int = 16,
    val settleMilliseconds: Long = 500,
) {
    init {
        require(shardCount > 0) { "shardCount must be positive; found $shardCount" }
        require(maximumRecords >= shardCount) { "allow at least one record a shard" }
    }
}
