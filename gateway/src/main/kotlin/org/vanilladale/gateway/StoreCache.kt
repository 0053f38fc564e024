package org.vanilladale.gateway

import java.util.concurrent.atomic.AtomicReference
import org.vanilladale.core.gateway.GatewayTables
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.core.shard.Locked
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Revision
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

    @Volatile
    var targetsRevision: Revision? = null
        private set

    /** True once the list of targets has been read. */
    @Volatile
    var hasTargets = false
        private set

    val tables: GatewayTables? get() = activeTables.get()

    /**
     * Applies a snapshot. Targets missing from it are kept until [graceUntil] if that is in the
     * future.
     */
    fun apply(snapshot: StoreReadResult.Snapshot, graceUntil: Deadline) {
        snapshot.tables?.let(::activate)
        val (gone, changed) = directory.use { known ->
            known.replaceAll(snapshot.targets, !graceUntil.hasPassed(clock()), clock())
        }
        changed.forEach { logTargetChange(it.id, it, snapshot.position) }
        gone.forEach { logTargetChange(it, null, snapshot.position) }
        raiseTargetsRevision(snapshot.targetsRevision)
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
        val gone = ArrayList<TargetId>(0)
        changes.targets.forEach { (id, target) ->
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
        raiseTargetsRevision(changes.targetsRevision)
        changes.evacuations.forEach { applyEvacuation(it, changes.position) }
        if (changes.targets.isNotEmpty() || changes.evacuations.isNotEmpty()) onChange(gone)
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

    private fun raiseTargetsRevision(revision: Revision?) {
        val current = targetsRevision
        if (revision != null && (current == null || revision > current)) targetsRevision = revision
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
