package org.vanilladale.gateway

import java.util.concurrent.atomic.AtomicReference
import org.vanilladale.core.gateway.GatewayTables
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.core.shard.Locked
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
        if (changes.targets.isNotEmpty()) onChange(gone)
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
