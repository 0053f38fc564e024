package org.vanilladale.entry

import io.vertx.core.json.JsonObject
import kotlin.random.Random
import org.tinylog.kotlin.Logger
import org.vanilladale.core.hash.chooseByRendezvous
import org.vanilladale.core.membership.EntryDirectory
import org.vanilladale.core.membership.EntryListBuilder
import org.vanilladale.core.membership.chooseProbes
import org.vanilladale.core.routing.SubsetEntry
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.EntryList
import org.vanilladale.schema.EntrySettings
import org.vanilladale.schema.EntryState
import org.vanilladale.schema.EntryStates
import org.vanilladale.schema.EntryStatus
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.Role
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import org.vanilladale.transport.PeerConnection

/**
 * Tracks the other entries and exchanges their states with the connected ones.
 *
 * The directory of states is immutable and is replaced under a lock. [tick] applies expired
 * deadlines and reports changed addresses and entries through [dial] and [onEntries].
 *
 * @param onReplaced called once if another process runs under the name of this VM
 * @param onEntries receives the entries that share the targets, once a change of them is stable
 * @param dial receives the peer addresses that this entry maintains connections to
 */
internal class EntryMembership(
    private val settings: EntrySettings,
    incarnation: Incarnation,
    private val clock: () -> Timestamp,
    random: Random,
    private val onReplaced: () -> Unit,
    private val onEntries: (List<SubsetEntry>) -> Unit,
    private val dial: (Set<SocketAddressText>) -> Unit,
) {
    private class PendingChange(val entries: Set<SubsetEntry>, val applyAt: Deadline)

    private val lock = Any()
    private val listBuilder = EntryListBuilder(random, settings.keepEntriesMilliseconds)
    private val takeoverUntil = clock().deadlineAfter(TAKEOVER_MILLISECONDS)
    private val sentStates = HashMap<PeerConnection, MutableMap<VmId, EntryState>>()
    private val deadAt = HashMap<VmId, Pair<EntryState, Deadline>>()
    private var listedAddresses = emptyMap<VmId, SocketAddressText>()
    private var replaced = false
    private var ready = false
    private var dialledAddresses = emptySet<SocketAddressText>()
    private var activeEntries = setOf(SubsetEntry(settings.vm, settings.dataCentre))
    private var pendingChange: PendingChange? = null
    private var directory = EntryDirectory.fromOwn(
        EntryState(
            settings.vm,
            settings.callerAddress,
            settings.peerAddress,
            settings.dataCentre,
            incarnation,
            version = 0,
            EntryStatus.ALIVE,
        ),
        DROP_MILLISECONDS,
    )

    /** The known states of all entries, including this one. */
    val states: List<EntryState> get() = synchronized(lock) { directory.states }

    /** Returns the list for a caller in data centre [caller], or in this one if it is null. */
    fun listFor(caller: DataCentreName?): EntryList = synchronized(lock) {
        listBuilder.build(directory, caller ?: settings.dataCentre, clock())
    }

    /** Sends all states over a new connection to another entry. */
    fun connected(connection: PeerConnection) {
        synchronized(lock) {
            sentStates[connection] = HashMap()
            sendChanges()
        }
    }

    /** Removes a closed connection. */
    fun disconnected(connection: PeerConnection) {
        synchronized(lock) { sentStates -= connection }
    }

    /** Merges the states received from another entry. */
    fun receive(connection: PeerConnection, states: List<EntryState>) {
        update { now ->
            sentStates[connection]?.let { known -> states.forEach { known[it.vm] = it } }
            directory.merge(states, now)
        }
    }

    /** Marks the entry at [address] as suspected after a redial has failed. */
    fun suspect(address: SocketAddressText) {
        update { now ->
            val state = directory.states.firstOrNull { it.peerAddress == address }
            if (state?.status == EntryStatus.ALIVE) {
                Logger.info { "membership: ${state.vm} suspected: $address does not answer" }
            }
            state?.let { directory.suspect(it.vm, now) } ?: directory
        }
    }

    /** Starts to send the state of this entry to the others, which then list it to callers. */
    fun announce() {
        synchronized(lock) {
            if (ready) return
            ready = true
            sendChanges()
        }
    }

    /** Announces that this entry is leaving. */
    fun leave() {
        update { directory.leave() }
    }

    /** Merges the rows of the platform's list of VMs. A list without entries is ignored. */
    fun mergeVmList(rows: List<JsonObject>) {
        val entries = rows.filter { it.getValue("role") == Role.ENTRY.code }
            .mapNotNull { row -> vmOrNull(row)?.let { it to row } }
            .toMap()
        if (entries.isEmpty()) return
        val (leaving, live) = entries.keys.partition {
            entries.getValue(it).getValue("state") == EntryStatus.LEAVING.code
        }
        update { now ->
            listedAddresses = live
                .mapNotNull { vm -> addressOrNull(entries.getValue(vm))?.let { vm to it } }
                .toMap()
            directory.mergeVmList(live.toSet(), leaving.toSet(), now)
        }
    }

    /**
     * Applies expired deadlines and reports changed addresses and entries. It has to be called
     * several times a second.
     */
    fun tick() {
        update { now -> declareDead(now).dropExpired(now) }
        val (addresses, entries) = synchronized(lock) { newDials() to newEntriesOrNull(clock()) }
        addresses?.let(dial)
        entries?.let { onEntries(it.toList()) }
    }

    private fun update(change: (Timestamp) -> EntryDirectory) {
        val isReplacement = synchronized(lock) {
            val before = directory
            val next = change(clock())
            directory = if (takeoverUntil.hasPassed(clock())) next else next.takeOver()
            if (directory !== before) sendChanges()
            val isReplacement = directory.replacedBy != null && !replaced
            replaced = replaced || isReplacement
            isReplacement
        }
        if (isReplacement) {
            Logger.warn { "membership: ${settings.vm} was replaced by a later process; stopping" }
            onReplaced()
        }
    }

    private fun sendChanges() {
        val states = directory.states.filter { ready || it.vm != settings.vm }
        sentStates.forEach { (connection, known) ->
            val changed = states.filter { known[it.vm] != it }
            if (changed.isNotEmpty() && connection.trySend(EntryStates(changed))) {
                changed.forEach { known[it.vm] = it }
            }
        }
    }

    private fun declareDead(now: Timestamp): EntryDirectory {
        val suspected = directory.states.filter { it.status == EntryStatus.SUSPECTED }
        deadAt.keys.retainAll(suspected.map { it.vm }.toSet())
        return suspected.fold(directory) { current, state ->
            val (since, deadline) = deadAt[state.vm]?.takeIf { it.first == state }
                ?: (state to now.deadlineAfter(SUSPECTED_MILLISECONDS))
            deadAt[state.vm] = since to deadline
            if (deadline.hasPassed(now)) current.declareDead(state.vm, now) else current
        }
    }

    /**
     * Returns the peer addresses to dial, or null if they have not changed. They include a few
     * entries that only the list of VMs names, so that this entry finds the rest of the fleet.
     */
    private fun newDials(): Set<SocketAddressText>? {
        val unknownEntries = listedAddresses
            .filterKeys { it != settings.vm && directory.stateOrNull(it) == null }
        val chosenUnknown = chooseByRendezvous(
            unknownEntries.keys,
            PROBE_COUNT,
            settings.vm.text,
            { it.text },
            { false },
        ).map(unknownEntries::getValue)
        val probed = chooseProbes(directory, PROBE_COUNT).map { it.peerAddress }
        val wanted = (probed + chosenUnknown + settings.peers).toSet() - settings.peerAddress
        if (wanted == dialledAddresses) return null
        dialledAddresses = wanted
        return wanted
    }

    /**
     * Returns the entries that share the targets, or null if there is no stable change. Suspected
     * entries keep their share until they are declared dead, and a change takes effect only after
     * [STABLE_MILLISECONDS], because each change of the subsets opens and closes connections to
     * agents.
     */
    private fun newEntriesOrNull(now: Timestamp): Set<SubsetEntry>? {
        val current = directory.states
            .filter { it.status == EntryStatus.ALIVE || it.status == EntryStatus.SUSPECTED }
            .map { SubsetEntry(it.vm, it.dataCentre) }
            .toSet()
        val waiting = pendingChange?.takeIf { it.entries == current }
            ?: PendingChange(current, now.deadlineAfter(STABLE_MILLISECONDS))
        pendingChange = waiting
        if (current == activeEntries || !waiting.applyAt.hasPassed(now)) return null
        activeEntries = current
        return current
    }

    private fun vmOrNull(row: JsonObject): VmId? =
        (row.getValue("vm") as? String)?.let(VmId::parseOrNull)

    private fun addressOrNull(row: JsonObject): SocketAddressText? =
        (row.getValue("peerAddress") as? String)?.let(SocketAddressText::parseOrNull)

    private companion object {
        const val PROBE_COUNT = 3
        const val SUSPECTED_MILLISECONDS = 10_000L
        const val DROP_MILLISECONDS = 60_000L
        const val STABLE_MILLISECONDS = 2_000L

        /**
         * Covers the first exchange with peers. A higher incarnation received later belongs to a
         * process that has replaced this one.
         */
        const val TAKEOVER_MILLISECONDS = 10_000L
    }
}
