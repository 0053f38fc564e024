package org.vanilladale.core.crash

/**
 * Bounds of a [SuspectBook].
 *
 * @property maximumRecords fingerprints remembered; each shard gets an equal part
 * @property longestRecordMilliseconds largest distance of a record's expiry from now; a later
 * expiry in a report is shortened
 */
public data class SuspectLimits(
    val maximumRecords: Int = 16_384,
    val longestRecordMilliseconds: Long = 3_600_000,
    val shardCount: Int = 16,
) {
    init {
        require(shardCount > 0) { "shardCount must be positive; found $shardCount" }
        require(maximumRecords >= shardCount) { "allow at least one record a shard" }
    }
}
