package org.vanilladale.core.routing

import org.vanilladale.core.hash.StableHash
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.PrefixId
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Which targets probably hold which prefix in their cache. Keep it under a lock.
 *
 * The map is a hint: a request that was routed counts as cached, an entry ends by time even when
 * no eviction was reported, and an event that is older than the last use changes nothing. When the
 * map is full, the prefix that was used least recently is dropped.
 *
 * @property maximumPrefixes bound of the map
 * @property keepMilliseconds time after the last use for which a target counts as caching
 */
public class PrefixAffinity(
    private val maximumPrefixes: Int = DEFAULT_MAXIMUM_PREFIXES,
    private val keepMilliseconds: Long = DEFAULT_KEEP_MILLISECONDS,
) {
    private class Holder(val target: TargetId, var usedAt: Timestamp, var keepUntil: Deadline)

    private val holdersByPrefix = LinkedHashMap<PrefixId, ArrayList<Holder>>(16, LOAD_FACTOR, true)

    /** Number of prefixes in the map. */
    public val size: Int get() = holdersByPrefix.size

    /** Records that a request with [prefix] went to [target] at [now]. */
    public fun routed(prefix: PrefixId, target: TargetId, now: Timestamp) {
        val holders = holdersByPrefix.getOrPut(prefix) { ArrayList(1) }
        val keepUntil = now.deadlineAfter(keepMilliseconds)
        val known = holders.firstOrNull { it.target == target }
        if (known != null) {
            if (now >= known.usedAt) {
                known.usedAt = now
                known.keepUntil = keepUntil
            }
        } else {
            if (holders.size == MAXIMUM_HOLDERS) holders.remove(holders.minBy { it.usedAt })
            holders += Holder(target, now, keepUntil)
        }
        if (holdersByPrefix.size > maximumPrefixes) {
            holdersByPrefix.remove(holdersByPrefix.keys.first())
        }
    }

    /** Takes a cache event of [target] that was raised at [at]: it stored [prefix]. */
    public fun stored(prefix: PrefixId, target: TargetId, at: Timestamp): Unit =
        routed(prefix, target, at)

    /** Takes a cache event of [target] that was raised at [at]: it dropped [prefix]. */
    public fun evicted(prefix: PrefixId, target: TargetId, at: Timestamp) {
        val holders = holdersByPrefix[prefix] ?: return
        holders.removeIf { it.target == target && it.usedAt <= at }
        if (holders.isEmpty()) holdersByPrefix.remove(prefix)
    }

    /** Drops all that is known of [target], as after its restart. */
    public fun forget(target: TargetId) {
        holdersByPrefix.values.forEach { holders -> holders.removeIf { it.target == target } }
        holdersByPrefix.values.removeIf { it.isEmpty() }
    }

    /**
     * Returns the targets out of [candidates] for [prefix], best first: those that probably cache
     * it, the most recently used first, then the target on which all entries agree by hash.
     */
    public fun preferred(
        prefix: PrefixId,
        candidates: Collection<TargetId>,
        now: Timestamp,
    ): List<TargetId> {
        if (candidates.isEmpty()) return emptyList()
        val caching = holdersByPrefix[prefix].orEmpty()
            .filter { !it.keepUntil.hasPassed(now) && it.target in candidates }
            .sortedByDescending { it.usedAt }
            .map { it.target }
        val hashChoice = candidates.maxBy { hashScore(prefix, it) }
        return if (hashChoice in caching) caching else caching + hashChoice
    }

    private fun hashScore(prefix: PrefixId, target: TargetId): Long = StableHash.ofPair(
        StableHash.ofText(prefix.text),
        StableHash.ofText(target.text),
    )

    public companion object {
        /** Default bound of the map. */
        public const val DEFAULT_MAXIMUM_PREFIXES: Int = 10_000

        /** Default time for which a used prefix counts as cached. */
        public const val DEFAULT_KEEP_MILLISECONDS: Long = 30_000

        private const val MAXIMUM_HOLDERS = 4
        private const val LOAD_FACTOR = 0.75f
    }
}
