package org.vanilladale.gateway

import java.util.concurrent.atomic.AtomicReference
import org.vanilladale.core.gateway.GatewayTables
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.gateway.StorePosition
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.core.shard.Locked
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Revision
import org.vanilladale.schema.StoreEra
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/** Local copy of the store's data: the active configuration and the list of targets. */
internal class StoreCache(
    private val directory: Locked<TargetDirectory>,
    private val log: GatewayLog,
    private val clock: () -> Timestamp,
    private val onChange: (List<TargetId>) -> Unit,
) {
    private val activeTables = AtomicReference<GatewayTables?>(null)

    /** Latest position of a target entry. */
    @Volatile
    var targetsPosition: StorePosition? = null
        private set

    /** Latest era of the store whose data was applied. */
    @Volatile
    var era: StoreEra? = null
        private set

    /** True once the list of targets has been read. */
    @Volatile
    var hasTargets = false
        private set

    val tables: GatewayTables? get() = activeTables.get()

    /**
     * Applies the first [snapshot] of a new era, which may lack what was known before. Returns the
     * number of targets that differ.
     *
     * @param firstRead revision of the store when it was first read in this era
     */
    fun applyRestored(snapshot: StoreReadResult.Snapshot, firstRead: Revision): Int {
        val now = clock()
        val differences = directory.use { known ->
            known.storeRestored(firstRead, now)
            known.countDifferences(snapshot.targets)
        }
        targetsPosition = null
        apply(snapshot, now.deadlineAfter(TargetDirectory.DEFAULT_GRACE_MILLISECONDS))
        return differences
    }

    /**
     * Applies a snapshot. Targets missing from it are kept until [graceUntil] if that is in the
     * future.
     */
    fun apply(snapshot: StoreReadResult.Snapshot, graceUntil: Deadline) {
        snapshot.tables?.let(::activate)
        val (gone, changed) = directory.use { known ->
            val targets = snapshot.targets
                .mapNotNull { known.acknowledgedOrNull(it, snapshot.targetRevisions[it.id]) }
            known.replaceAll(targets, !graceUntil.hasPassed(clock()), clock())
        }
        changed.forEach { logTargetChange(it.id, it, snapshot.position) }
        gone.forEach { logTargetChange(it, null, snapshot.position) }
        raisePosition(snapshot.era, snapshot.targetsRevision)
        directory.use { it.evacuations.replaceAll(snapshot.evacuated, clock()) }.also { change ->
            change.began.forEach { logEvacuation(it, "began", snapshot.position) }
            change.ended.forEach { logEvacuation(it, "ended", snapshot.position) }
        }
        hasTargets = true
        onChange(gone)
    }

    /** Applies changes. Removals take effect at [graceUntil] if that is in the future. */
    fun apply(changes: StoreReadResult.Changes, graceUntil: Deadline) {
        changes.tables?.let(::activate)
        val gone = applyTargets(changes, graceUntil)
        raisePosition(changes.era, changes.targetsRevision)
        changes.evacuations.forEach { applyEvacuation(it, changes.position) }
        val released = directory.use { it.evacuations.endHeld(clock()) }
        released.forEach { logEvacuation(it, "ended", changes.position) }
        val isChanged =
            changes.targets.isNotEmpty() || changes.evacuations.isNotEmpty() ||
                released.isNotEmpty()
        if (isChanged) onChange(gone)
    }

    /** Applies the changes of targets and returns the targets that were removed. */
    private fun applyTargets(
        changes: StoreReadResult.Changes,
        graceUntil: Deadline,
    ): List<TargetId> {
        val gone = ArrayList<TargetId>(0)
        changes.targets.forEach { (id, record) ->
            val target = record?.let {
                directory.use { known -> known.acknowledgedOrNull(it, null) }
            }
            if (record != null && target == null) return@forEach
            directory.use { known ->
                when {
                    target != null -> known.put(target)
                    graceUntil.hasPassed(clock()) -> known.remove(id)
                    else -> known.expireAt(id, graceUntil)
                }
            }
            if (target == null) gone += id
            logTargetChange(id, target, changes.position)
        }
        return gone
    }

    private fun applyEvacuation(change: EvacuationChange, position: Revision) {
        val (dataCentre, isEvacuated) = change
        val isNew = directory.use { known ->
            if (isEvacuated) {
                known.evacuations.begin(dataCentre)
            } else {
                known.evacuations.end(dataCentre, clock())
            }
        }
        if (isNew) logEvacuation(dataCentre, if (isEvacuated) "began" else "ended", position)
    }

    private fun logEvacuation(dataCentre: DataCentreName, state: String, position: Revision) {
        val targets = directory.use { it.targetsIn(dataCentre).size }
        log.log(GatewayEvent.Evacuation(dataCentre.text, state, targets, position.value))
    }

    private fun raisePosition(answerEra: StoreEra?, revision: Revision?) {
        if (answerEra != null) era = answerEra
        val position = revision?.let { StorePosition(answerEra, it) } ?: return
        val current = targetsPosition
        if (current == null || position.isAfter(current)) targetsPosition = position
    }

    /** Activates [tables] unless they are no newer than the active ones, as after a stale read. */
    private fun activate(tables: GatewayTables) {
        val current = activeTables.get()
        if (current != null && current.revision >= tables.revision) return
        activeTables.set(tables)
        log.log(GatewayEvent.TablesActivated(tables.revision.value, current?.revision?.value))
    }

    private fun logTargetChange(id: TargetId, target: KnownTarget?, position: Revision) {
        val change = when {
            target == null -> "gone"
            target.leaving -> "leaving"
            else -> "listed"
        }
        val address = target?.address?.text
        log.log(GatewayEvent.TargetChanged(id.text, change, address, position.value))
    }
}
