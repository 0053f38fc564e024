package org.vanilladale.core.gateway

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.EntryBeat
import org.vanilladale.schema.EntryPhase
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.PoolWaiting
import org.vanilladale.schema.Revision
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.StoreEra
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/**
 * State of the other entries as their heartbeats report it, with the load that all of them
 * together put on each target. Not thread-safe; callers synchronize access.
 */
public class FleetView(
    private val own: VmId,
    private val silenceMilliseconds: Long = DEFAULT_SILENCE_MILLISECONDS,
) {
    private class Totals {
        var running = 0
        var failures = 0
        var gaps = 0
        var gapMilliseconds = 0
    }

    private val peers = LinkedHashMap<VmId, PeerEntry>()
    private val silent = LinkedHashMap<VmId, PeerEntry>()
    private val totals = HashMap<TargetId, Totals>()
    private val waiting = HashMap<PoolName, Int>()
    private val waitingEntries = HashMap<PoolName, Int>()
    private val statedWaiting = HashMap<PoolName, IntArray>()
    private val unstatedWaiting = HashMap<PoolName, Int>()

    /** Peers with a recent heartbeat. */
    public val live: Collection<PeerEntry> get() = peers.values

    /** Silent peers with their last heartbeat; they may still run and only be unreachable. */
    public val lost: Collection<PeerEntry> get() = silent.values

    /** Highest revision of the configuration in effect at a live peer, or null if none has any. */
    public val highestTablesRevision: Revision?
        get() = peers.values.mapNotNull { it.heartbeat.tablesRevision }.maxOrNull()

    /** Highest era of the store that a live peer knows, or null if none knows any. */
    public val highestStoreEra: StoreEra?
        get() = peers.values.mapNotNull { it.heartbeat.storeEra }.maxOrNull()

    /**
     * Records a heartbeat of a peer.
     *
     * @return false if the heartbeat is outdated, a duplicate, or sent by this entry itself
     */
    public fun receive(heartbeat: EntryBeat, now: Timestamp): Boolean {
        if (heartbeat.vm == own) return false
        val known = peers[heartbeat.vm]
        // A process that restarts after its clock was set back has a lower incarnation. Its
        // heartbeats are accepted once the old process counts as lost.
        if (known != null && !isNewer(heartbeat, known.heartbeat)) return false
        peers.remove(heartbeat.vm)?.let { add(it.heartbeat, -1) }
        silent.remove(heartbeat.vm)
        val silence = maxOf(
            silenceMilliseconds,
            SILENCE_HEARTBEAT_INTERVALS * heartbeat.intervalMilliseconds,
        )
        peers[heartbeat.vm] = PeerEntry(
            heartbeat,
            now.deadlineAfter(silence),
            now.deadlineAfter(ADDRESS_VALIDITY_MILLISECONDS),
            startDeadline(heartbeat, known, now),
        )
        add(heartbeat, 1)
        return true
    }

    /** Moves peers whose silence deadline has passed to the lost peers, and returns them. */
    public fun expire(now: Timestamp): List<PeerEntry> {
        val expired = peers.values.filter { it.silenceDeadline.hasPassed(now) }
        expired.forEach { peer ->
            peers.remove(peer.heartbeat.vm)
            add(peer.heartbeat, -1)
            silent[peer.heartbeat.vm] = peer
        }
        while (silent.size > MAX_LOST_PEERS) silent.remove(silent.keys.first())
        return expired
    }

    /**
     * Returns the lost peers that may still serve callers and only be unreachable from here: those
     * with a recent heartbeat in which they were not leaving. Entries that ended stay among [lost],
     * so that their number says nothing about the connection of this entry.
     */
    public fun possiblyServing(now: Timestamp): List<PeerEntry> = silent.values.filter {
        it.heartbeat.phase != EntryPhase.LEAVING && !it.addressDeadline.hasPassed(now)
    }

    /**
     * Returns whether this entry may be cut off from the fleet: it hears no peer although there are
     * some, or it has lost more peers than it hears. Peers that were leaving don't count, nor, if
     * it hears others, those that have been lost for long or a fleet of at most [MAX_SMALL_FLEET]
     * entries.
     *
     * @param expectsPeers whether the settings of this entry name others
     */
    public fun mayBeCutOff(expectsPeers: Boolean, now: Timestamp): Boolean {
        val unreachable = silent.values.filter { it.heartbeat.phase != EntryPhase.LEAVING }
        if (peers.isEmpty()) return expectsPeers || unreachable.isNotEmpty()
        val lostLately = unreachable.count { it.wasLostWithin(LOST_LATELY_MILLISECONDS, now) }
        return entryCount(now) > MAX_SMALL_FLEET && lostLately > peers.size
    }

    /**
     * Returns the number of entries that share budgets: this entry, live peers, and lost peers that
     * may still run. Peers that were lost over [BUDGET_SHARE_MILLISECONDS] ago don't count, because
     * entries that were replaced would otherwise reduce the shares of the others for good.
     */
    public fun entryCount(now: Timestamp): Int =
        1 + peers.size + silent.values.count { it.wasLostWithin(BUDGET_SHARE_MILLISECONDS, now) }

    /** Returns the addresses of all peers, including lost ones. */
    public fun addresses(): List<SocketAddressText> =
        (peers.values + silent.values).map { it.heartbeat.address }

    /** Returns the number of requests that peers have in flight at [target]. */
    public fun running(target: TargetId): Int = totals[target]?.running ?: 0

    /** Returns the number of recent failed attempts of peers at [target]. */
    public fun failures(target: TargetId): Int = totals[target]?.failures ?: 0

    /**
     * Returns the mean gap in milliseconds between stream events that peers observe at [target],
     * or null if no peer reports one.
     */
    public fun gapOrNull(target: TargetId): Double? =
        totals[target]?.takeIf { it.gaps > 0 }?.let { it.gapMilliseconds.toDouble() / it.gaps }

    /** Returns the number of requests that wait at peers for a slot in [pool]. */
    public fun waiting(pool: PoolName): Int = waiting[pool] ?: 0

    /**
     * Returns the number of requests that wait at peers for a slot in [pool] and are at least as
     * urgent as [priority]. All requests of a peer that does not state their priorities count.
     */
    public fun waitingFrom(pool: PoolName, priority: Int): Int =
        (unstatedWaiting[pool] ?: 0) + waitingBefore(pool, priority + 1)

    /**
     * Returns the number of requests that wait at peers for a slot in [pool] and are known to be
     * more urgent than [priority].
     */
    public fun waitingBefore(pool: PoolName, priority: Int): Int =
        statedWaiting[pool]?.take(priority)?.sum() ?: 0

    /** Returns the number of peers at which requests wait for a slot in [pool]. */
    public fun waitingEntries(pool: PoolName): Int = waitingEntries[pool] ?: 0

    private fun PeerEntry.wasLostWithin(milliseconds: Long, now: Timestamp): Boolean =
        now.epochMilliseconds - silenceDeadline.epochMilliseconds < milliseconds

    private fun startDeadline(heartbeat: EntryBeat, known: PeerEntry?, now: Timestamp): Deadline? {
        if (heartbeat.phase != EntryPhase.STARTING) return null
        val earlier = known?.takeIf {
            it.heartbeat.incarnation == heartbeat.incarnation
        }?.startDeadline
        return earlier ?: now.deadlineAfter(START_TIMEOUT_MILLISECONDS)
    }

    private fun isNewer(heartbeat: EntryBeat, known: EntryBeat): Boolean =
        if (heartbeat.incarnation == known.incarnation) {
            heartbeat.sequence > known.sequence
        } else {
            heartbeat.incarnation > known.incarnation
        }

    private fun add(heartbeat: EntryBeat, sign: Int) {
        heartbeat.targets.forEach { share ->
            val total = totals.getOrPut(share.target) { Totals() }
            total.running += sign * share.running
            total.failures += sign * share.failures
            if (share.gapMilliseconds > 0) {
                total.gaps += sign
                total.gapMilliseconds += sign * share.gapMilliseconds
            }
        }
        heartbeat.waiting.forEach { row ->
            waiting.merge(row.pool, sign * row.waiting, Int::plus)
            if (row.waiting > 0) waitingEntries.merge(row.pool, sign, Int::plus)
            addPriorities(row, sign)
        }
    }

    private fun addPriorities(row: PoolWaiting, sign: Int) {
        if (row.byPriority.isEmpty()) {
            unstatedWaiting.merge(row.pool, sign * row.waiting, Int::plus)
            return
        }
        val totals = statedWaiting.getOrPut(row.pool) { IntArray(PriorityMix.PRIORITIES) }
        row.byPriority.take(totals.size).forEachIndexed { priority, count ->
            totals[priority] += sign * count
        }
    }

    public companion object {
        /**
         * Minimum silence after which a peer counts as lost; long enough for pauses of garbage
         * collection and class loading.
         */
        public const val DEFAULT_SILENCE_MILLISECONDS: Long = 1_000

        /**
         * Number of intervals without a heartbeat after which a peer counts as lost, so that a few
         * lost datagrams do not suffice.
         */
        public const val SILENCE_HEARTBEAT_INTERVALS: Int = 4

        /**
         * Time after the last heartbeat of an entry for which callers may be sent to it. A caller
         * must not be sent to an entry that ended more than 6 s ago, and the difference covers
         * heartbeats that arrive late.
         */
        public const val ADDRESS_VALIDITY_MILLISECONDS: Long = 4_000

        /**
         * Time within which a starting entry is expected to serve. A start takes about a second,
         * and an entry that needs longer has no connection to the store.
         */
        public const val START_TIMEOUT_MILLISECONDS: Long = 2_000

        /** Time after which a lost peer counts as removed rather than unreachable. */
        private const val LOST_LATELY_MILLISECONDS = 60_000L

        /**
         * Time for which a lost peer keeps its share of budgets. During a partition that lasts
         * longer, each part of the fleet uses the shares of the others.
         */
        public const val BUDGET_SHARE_MILLISECONDS: Long = 600_000

        /** Number of entries that may act alone without exceeding a limit of the fleet together. */
        private const val MAX_SMALL_FLEET = 3

        /** Maximum number of lost peers, which bounds the memory for peers that never return. */
        private const val MAX_LOST_PEERS = 512
    }
}
