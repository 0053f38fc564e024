package org.vanilladale.core.gateway

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.EntryBeat
import org.vanilladale.schema.EntryPhase
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.Revision
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/**
 * What one entry knows of the others from their beats, and the load that all of them together put
 * on each target. Keep it under a lock.
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

    /** Peers that were heard lately. */
    public val live: Collection<PeerEntry> get() = peers.values

    /** Peers that fell silent; their last word is kept, since they may only be cut off. */
    public val lost: Collection<PeerEntry> get() = silent.values

    /** Entries that share budgets: this one and all that were heard, lost ones included. */
    public val entryCount: Int get() = 1 + peers.size + silent.size

    /** Highest configuration that a live peer has in force, or null when none has any. */
    public val highestTablesRevision: Revision?
        get() = peers.values.mapNotNull { it.heartbeat.tablesRevision }.maxOrNull()

    /** Takes a heartbeat; returns false for an old one, a copy, or one of this entry itself. */
    public fun receive(heartbeat: EntryBeat, now: Timestamp): Boolean {
        if (heartbeat.vm == own) return false
        val known = peers[heartbeat.vm]
        // A restart with a clock that was set back has a lower incarnation; the old one is silent.
        if (known != null && !isNewer(heartbeat, known.heartbeat)) return false
        peers.remove(heartbeat.vm)?.let { add(it.heartbeat, -1) }
        silent.remove(heartbeat.vm)
        val silence = maxOf(
            silenceMilliseconds,
            SILENCE_HEARTBEAT_INTERVALS * heartbeat.intervalMilliseconds,
        )
        peers[heartbeat.vm] =
            PeerEntry(heartbeat, now.deadlineAfter(silence), startDeadline(heartbeat, known, now))
        add(heartbeat, 1)
        return true
    }

    /** Moves peers that were not heard for too long to the lost ones; returns those. */
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

    /** Returns the addresses of all peers, lost ones included. */
    public fun addresses(): List<SocketAddressText> =
        (peers.values + silent.values).map { it.heartbeat.address }

    /** Returns the requests that peers have at [target]. */
    public fun running(target: TargetId): Int = totals[target]?.running ?: 0

    /** Returns the failed attempts that peers saw at [target] in the last seconds. */
    public fun failures(target: TargetId): Int = totals[target]?.failures ?: 0

    /** Returns the mean time between events that peers see at [target]; null when none does. */
    public fun gapOrNull(target: TargetId): Double? =
        totals[target]?.takeIf { it.gaps > 0 }?.let { it.gapMilliseconds.toDouble() / it.gaps }

    /** Returns the requests that wait at peers for a place in [pool]. */
    public fun waiting(pool: PoolName): Int = waiting[pool] ?: 0

    /** Returns the number of peers at which requests wait for a place in [pool]. */
    public fun waitingEntries(pool: PoolName): Int = waitingEntries[pool] ?: 0

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
        }
    }

    public companion object {
        /** Shortest silence; a process that collects garbage or loads classes is not lost. */
        public const val DEFAULT_SILENCE_MILLISECONDS: Long = 1_000

        /** Beats that may be missing in a row, so that a few lost datagrams are no silence. */
        public const val SILENCE_HEARTBEAT_INTERVALS: Int = 4

        /** A start takes about a second; an entry that takes longer lacks the store. */
        public const val START_TIMEOUT_MILLISECONDS: Long = 2_000

        /** Bounds the memory for peers that never return. */
        private const val MAX_LOST_PEERS = 512
    }
}
