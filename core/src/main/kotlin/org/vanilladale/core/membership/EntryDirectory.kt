package org.vanilladale.core.membership

import kotlin.random.Random
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.EntryState
import org.vanilladale.schema.EntryStatus
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

private const val RANDOM_BITS = 20

private val precedence: Comparator<EntryState> = compareBy(
    { it.incarnation },
    // Leaving counts before the version: another entry may suspect the VM under a higher version
    // without having heard that it is leaving.
    { it.status == EntryStatus.LEAVING },
    { it.version },
    { it.status.ordinal },
)

/** Returns an incarnation that is higher than those of earlier starts of the same VM. */
public fun entryIncarnation(startedAt: Timestamp, random: Random): Incarnation =
    Incarnation((startedAt.epochMilliseconds shl RANDOM_BITS) + random.nextInt(1 shl RANDOM_BITS))

/**
 * What this entry knows of all entries, itself included.
 *
 * Of two states of one VM the higher incarnation counts, then leaving, then the higher version,
 * then the more severe status. The order is total, so all entries agree whatever the order of
 * merges. Only an entry itself says that it is alive: it does so by raising its version when it
 * sees itself suspected or dead. Immutable.
 */
public class EntryDirectory private constructor(
    public val self: VmId,
    private val known: Map<VmId, Entry>,
    private val dropMilliseconds: Long,
    /** A later incarnation of this VM that was heard of; this process has then been replaced. */
    public val replacedBy: Incarnation?,
    private val leavingMarks: Map<VmId, Incarnation>,
) {
    /**
     * A dropped state stays hidden until [forgetAt], as peers drop theirs a little later and would
     * bring it back.
     */
    private data class Entry(
        val state: EntryState,
        val dropAt: Deadline? = null,
        val forgetAt: Deadline? = null,
        val hidden: Boolean = false,
    )

    /** The states to send to other entries. */
    public val states: List<EntryState>
        get() = known.values.filter { !it.hidden }.map { it.state }

    public val own: EntryState get() = known.getValue(self).state

    public fun stateOrNull(vm: VmId): EntryState? = known[vm]?.takeIf { !it.hidden }?.state

    /** Merges [states] of a peer. */
    public fun merge(states: List<EntryState>, now: Timestamp): EntryDirectory =
        states.fold(this) { directory, state ->
            if (state.vm == self) directory.mergeOwn(state) else directory.mergeOther(state, now)
        }

    /** Takes over that this entry's own check found [vm] silent. */
    public fun suspect(vm: VmId, now: Timestamp): EntryDirectory =
        observe(vm, EntryStatus.SUSPECTED, now)

    /** Takes over that a suspected [vm] stayed silent until its deadline. */
    public fun declareDead(vm: VmId, now: Timestamp): EntryDirectory =
        observe(vm, EntryStatus.DEAD, now)

    /** Returns the directory to announce when this entry is leaving. */
    public fun leave(): EntryDirectory =
        withOwn(own.copy(version = own.version + 1, status = EntryStatus.LEAVING))

    /**
     * Returns the directory with an incarnation above [replacedBy]. It is for a process that has
     * just started: the higher incarnation is then an earlier start whose clock was ahead.
     */
    public fun takeOver(): EntryDirectory {
        val incarnation = replacedBy ?: return this
        val next = own.copy(incarnation = Incarnation(incarnation.value + 1))
        return EntryDirectory(
            self,
            known + (self to Entry(next)),
            dropMilliseconds,
            replacedBy = null,
            leavingMarks,
        )
    }

    /**
     * Merges the lagging list of VMs. A leaving mark counts for the incarnation that was known when
     * the mark was first seen, as it may outlast a restart. A VM in neither list is dead only when
     * it is suspected as well, since the list may not hold a new VM yet.
     */
    public fun mergeVmList(live: Set<VmId>, leaving: Set<VmId>, now: Timestamp): EntryDirectory {
        val marks = leaving.filter { it in known }
            .associateWith { leavingMarks[it] ?: known.getValue(it).state.incarnation }
        val merged = known.values.map { it.state }.filter { it.vm != self }
            .fold(this) { directory, state ->
                val absent = state.vm !in live && state.vm !in leaving
                when {
                    marks[state.vm] == state.incarnation ->
                        directory.observe(state.vm, EntryStatus.LEAVING, now)
                    absent && state.status == EntryStatus.SUSPECTED ->
                        directory.observe(state.vm, EntryStatus.DEAD, now)
                    else -> directory
                }
            }
        return merged.copy(leavingMarks = marks)
    }

    /** Drops dead and leaving entries whose deadline has passed. */
    public fun dropExpired(now: Timestamp): EntryDirectory = copy(
        known.filterValues { it.forgetAt?.hasPassed(now) != true }
            .mapValues { (_, entry) -> entry.copy(hidden = entry.dropAt?.hasPassed(now) == true) },
    )

    private fun observe(vm: VmId, status: EntryStatus, now: Timestamp): EntryDirectory {
        val current = known[vm]?.state ?: return this
        if (vm == self || status.ordinal <= current.status.ordinal) return this
        return mergeOther(current.copy(version = current.version + 1, status = status), now)
    }

    private fun mergeOther(state: EntryState, now: Timestamp): EntryDirectory {
        val current = known[state.vm]?.state
        if (current != null && precedence.compare(state, current) <= 0) return this
        val gone = state.status == EntryStatus.LEAVING || state.status == EntryStatus.DEAD
        val entry = if (gone) {
            Entry(
                state,
                dropAt = now.deadlineAfter(dropMilliseconds),
                forgetAt = now.deadlineAfter(2 * dropMilliseconds),
            )
        } else {
            Entry(state)
        }
        return copy(known + (state.vm to entry))
    }

    private fun mergeOwn(received: EntryState): EntryDirectory = when {
        received.incarnation > own.incarnation ->
            copy(replacedBy = received.incarnation)
        precedence.compare(received, own) <= 0 -> this
        // The list of VMs may announce that this VM is leaving before its own settings do.
        received.status == EntryStatus.LEAVING -> withOwn(received)
        else -> withOwn(own.copy(version = received.version + 1))
    }

    private fun withOwn(state: EntryState) = copy(known + (self to Entry(state)))

    private fun copy(
        known: Map<VmId, Entry> = this.known,
        replacedBy: Incarnation? = this.replacedBy,
        leavingMarks: Map<VmId, Incarnation> = this.leavingMarks,
    ) = EntryDirectory(self, known, dropMilliseconds, replacedBy, leavingMarks)

    public companion object {
        /**
         * Starts a directory that knows [own] only. Dead and leaving entries are dropped after
         * [dropMilliseconds].
         */
        public fun fromOwn(own: EntryState, dropMilliseconds: Long): EntryDirectory =
            EntryDirectory(own.vm, mapOf(own.vm to Entry(own)), dropMilliseconds, null, emptyMap())
    }
}
