package org.vanilladale.gateway

import org.vanilladale.core.gateway.GatewayTables
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.schema.Revision
import org.vanilladale.schema.TargetId

/** Answer to a read of the platform's store. */
public sealed interface StoreReadResult {
    /**
     * Everything that the store holds for this system.
     *
     * @property position revision from which changes are to be watched
     * @property targetsRevision highest revision of an entry of a target
     */
    public data class Snapshot(
        val position: Revision,
        val tables: GatewayTables?,
        val targets: List<KnownTarget>,
        val targetsRevision: Revision?,
    ) : StoreReadResult

    /** What has changed since the position of the question; nothing when the wait has passed. */
    public data class Changes(
        val position: Revision,
        val tables: GatewayTables?,
        val targets: List<TargetChange>,
        val targetsRevision: Revision?,
    ) : StoreReadResult

    /** The store no longer knows what has changed since the position; only a snapshot helps. */
    public data object HistoryLost : StoreReadResult

    /** No usable answer; [reason] says what came instead. */
    public data class Failed(val reason: String) : StoreReadResult
}

/** A target that was listed or changed, or one whose entry was removed ([target] is null). */
public data class TargetChange(val id: TargetId, val target: KnownTarget?)

/**
 * Reads the platform's store. Neither function throws for a failure of the store.
 *
 * The store has `timeoutMilliseconds` for each call, or the call has failed.
 */
public interface StorePort {
    /** Reads everything. */
    public suspend fun read(timeoutMilliseconds: Long): StoreReadResult

    /** Waits for changes after [position], for [waitMilliseconds] at most. */
    public suspend fun watch(
        position: Revision,
        waitMilliseconds: Long,
        timeoutMilliseconds: Long,
    ): StoreReadResult
}
