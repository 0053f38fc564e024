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
    // Leaving takes precedence over the version, because another entry may suspect the VM under a
    // higher version before it learns that the VM is leaving.
    { it.status == EntryStatus.LEAVING },
    { it.version },
    { it.status.ordinal },
)

/** Returns an incarnation that is higher than those of earlier starts of the same VM. */
public fun entryIncarnation(startedAt: Timestamp, random: Random): Incarnation =
    Incarnation((startedAt.epochMilliseconds shl RANDOM_BITS) + random.nextInt(1 shl RANDOM_BITS))

/**
 * States of all entries as this entry knows them, including its own. Immutable.
 *
 * Of two states of one VM, the one with the higher incarnation takes precedence. Equal incarnations
 * are ordered by leaving, then by the version, then by the severity of the status. The order is
 * total, so all entries agree whatever the order of merges. Only an entry itself can state that it
 * is alive: if it receives a state in which it is suspected or dead, it raises its version.
 */
public class EntryDirectory private constructor(
    public val self: VmId,
    private val known: Map<VmId, Entry>,
    private val dropMilliseconds: Long,
    /**
     * Higher incarnation of this VM that a peer reported, or null. The process with that
     * incarnation replaces this one.
     */
    public val replacedBy: Incarnation?,
    private val leavingMarks: Map<VmId, Incarnation>,
) {
    /**
     * State of one VM. After [dropAt] it is hidden but kept until [forgetAt], because peers drop
     * their copies slightly later and a merge would otherwise restore it.
     */
    private data class Entry(
        val state: EntryState,
        val dropAt: Deadline? = null,
        val forgetAt: Deadline? = null,
        val hidden: Boolean = false,
    )

    /** States to send to other entries. */
    public val states: List<EntryState>
        get() = known.values.filter { !it.hidden }.map { it.state }

    /** State of this entry. */
    public val own: EntryState get() = known.getValue(self).state

    /** Returns the state of [vm], or null if it is unknown or dropped. */
    public fun stateOrNull(vm: VmId): EntryState? = known[vm]?.takeIf { !it.hidden }?.state

    /** Merges the [states] that a peer sent. */
    public fun merge(states: List<EntryState>, now: Timestamp): EntryDirectory =
        states.fold(this) { directory, state ->
            if (state.vm == self) directory.mergeOwn(state) else directory.mergeOther(state, now)
        }

    /** Marks [vm] as suspected after a check by this entry found it silent. */
    public fun suspect(vm: VmId, now: Timestamp): EntryDirectory =
        observe(vm, EntryStatus.SUSPECTED, now)

    /** Marks the suspected [vm] as dead after it stayed silent until its deadline. */
    public fun declareDead(vm: VmId, now: Timestamp): EntryDirectory =
        observe(vm, EntryStatus.DEAD, now)

    /** Returns the directory that announces that this entry is leaving. */
    public fun leave(): EntryDirectory =
        withOwn(own.copy(version = own.version + 1, status = EntryStatus.LEAVING))

    /**
     * Returns the directory with an own incarnation above [replacedBy]. Only a process that has
     * just started calls this, because the higher incarnation then belongs to an earlier start of
     * the VM with a clock that was ahead.
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
     * Merges the list of VMs, which may be outdated.
     *
     * A leaving mark applies only to the incarnation that was known when the mark first appeared,
     * because the mark may remain in the list after a restart. A VM that is neither in [live] nor
     * in [leaving] is marked as dead only if it is also suspected, because the list may not contain
     * a new VM yet.
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

    /** Returns the directory without dead and leaving entries whose deadline has passed. */
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
        // The list of VMs may state that this VM is leaving before its own settings do.
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
         * Creates a directory that contains only [own]. Dead and leaving entries are dropped after
         * [dropMilliseconds].
         */
        public fun fromOwn(own: EntryState, dropMilliseconds: Long): EntryDirectory =
            EntryDirectory(own.vm, mapOf(own.vm to Entry(own)), dropMilliseconds, null, emptyMap())
    }
}
