package org.vanilladale.core.routing

import org.vanilladale.core.hash.StableHash
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.PrefixId
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Tracks which targets probably have which prefix in their cache. Not thread-safe: callers hold a
 * lock.
 *
 * The map is only a hint. A prefix counts as cached once a request with it was routed, and it
 * expires even if no eviction was reported. An event that is older than the last use is ignored.
 * When the map is full, the least recently used prefix is dropped.
 *
 * @property maximumPrefixes maximum number of prefixes in the map
 * @property keepMilliseconds time after the last use for which a prefix counts as cached
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

    /** Processes a cache event raised at [at]: [target] stored [prefix]. */
    public fun stored(prefix: PrefixId, target: TargetId, at: Timestamp): Unit =
        routed(prefix, target, at)

    /** Processes a cache event raised at [at]: [target] dropped [prefix]. */
    public fun evicted(prefix: PrefixId, target: TargetId, at: Timestamp) {
        val holders = holdersByPrefix[prefix] ?: return
        holders.removeIf { it.target == target && it.usedAt <= at }
        if (holders.isEmpty()) holdersByPrefix.remove(prefix)
    }

    /** Removes all prefixes of [target], for example after its restart. */
    public fun forget(target: TargetId) {
        holdersByPrefix.values.forEach { holders -> holders.removeIf { it.target == target } }
        holdersByPrefix.values.removeIf { it.isEmpty() }
    }

    /**
     * Returns the [candidates] that are preferred for [prefix], best first.
     *
     * The targets that probably cache the prefix come first, in order of most recent use, followed
     * by the target with the highest hash score, which is the same at all entries.
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
        /** Default maximum number of prefixes in the map. */
        public const val DEFAULT_MAXIMUM_PREFIXES: Int = 10_000

        /** Default time after the last use for which a prefix counts as cached. */
        public const val DEFAULT_KEEP_MILLISECONDS: Long = 30_000

        private const val MAXIMUM_HOLDERS = 4
        private const val LOAD_FACTOR = 0.75f
    }
}
