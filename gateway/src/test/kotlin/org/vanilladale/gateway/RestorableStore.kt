package org.vanilladale.gateway

import kotlinx.coroutines.delay
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Revision
import org.vanilladale.schema.StoreEra
import org.vanilladale.schema.TargetId

/** Store whose content can be replaced by an older copy of it. */
internal class RestorableStore(private val now: () -> Long, var era: StoreEra? = StoreEra(1)) :
    StorePort {
    private class Record(val target: KnownTarget, val revision: Revision)

    private class Event(
        val revision: Revision,
        val target: TargetChange?,
        val zone: EvacuationChange?,
    )

    /** What the store holds; a copy is an older instance. */
    class Content private constructor(
        val revision: Revision,
        private val records: Map<TargetId, Record>,
        private val evacuated: Set<DataCentreName>,
        private val events: List<Event>,
    ) {
        constructor() : this(Revision(1), emptyMap(), emptySet(), emptyList())

        private val next get() = Revision(revision.value + 1)

        fun with(target: KnownTarget) = Content(
            next,
            records + (target.id to Record(target, next)),
            evacuated,
            events + Event(next, TargetChange(target.id, target), null),
        )

        fun without(id: TargetId) = Content(
            next,
            records - id,
            evacuated,
            events + Event(next, TargetChange(id, null), null),
        )

        fun evacuating(zone: DataCentreName, isEvacuated: Boolean) = Content(
            next,
            records,
            if (isEvacuated) evacuated + zone else evacuated - zone,
            events + Event(next, null, EvacuationChange(zone, isEvacuated)),
        )

        fun snapshot(era: StoreEra?) = StoreReadResult.Snapshot(
            revision,
            null,
            records.values.map { it.target },
            records.values.maxOfOrNull { it.revision },
            evacuated,
            era,
            records.mapValues { it.value.revision },
        )

        fun changesAfter(position: Revision, era: StoreEra?): StoreReadResult {
            val later = events.filter { it.revision > position }
            val targets = later.mapNotNull { it.target }
            val targetsRevision = later.lastOrNull { it.target != null }?.revision
            val zones = later.mapNotNull { it.zone }
            return StoreReadResult.Changes(revision, null, targets, targetsRevision, zones, era)
        }
    }

    var content = Content()

    /** Times at which whole reads began. */
    val reads = ArrayList<Long>()

    fun change(change: Content.() -> Content) {
        content = content.change()
    }

    /** Replaces the content by [copy] and raises the era, if there is one. */
    fun restore(copy: Content) {
        content = copy
        era = era?.let { StoreEra(it.value + 1) }
    }

    override suspend fun read(timeoutMilliseconds: Long): StoreReadResult {
        reads += now()
        return content.snapshot(era)
    }

    override suspend fun watch(
        position: Revision,
        waitMilliseconds: Long,
        timeoutMilliseconds: Long,
    ): StoreReadResult {
        if (position > content.revision) return StoreReadResult.HistoryLost(era)
        val startedAt = now()
        while (content.revision <= position && now() < startedAt + waitMilliseconds) delay(5)
        return content.changesAfter(position, era)
    }
}
