package org.vanilladale.core.crash

import org.vanilladale.core.shard.Sharded
import org.vanilladale.schema.CrashId
import org.vanilladale.schema.CrashReport
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Suspect

/**
 * Requests in flight on one target. This class is thread-safe.
 *
 * A request that runs isolated is the only one in flight. While one waits to run isolated, no
 * other request starts, so that it isn't starved.
 *
 * @param I type of the id of a request, unique at the agent across all connections
 */
public class InFlightRequests<I : Any> {
    // Isolation concerns the whole target, so there is only one shard.
    private val shards = Sharded<Unit, InFlightState<I>>(1) { InFlightState() }

    /** Starts the request, or returns that it has to wait. */
    public fun start(id: I, request: RequestFingerprints, isolated: Boolean): StartDecision =
        shards.withShard(Unit) { it.start(id, request, isolated) }

    /** Records that the request ended or stopped waiting. Unknown ids are ignored. */
    public fun stop(id: I) {
        shards.withShard(Unit) { it.stop(id) }
    }

    /**
     * Returns the requests in flight that are suspects in [report] and don't run isolated.
     *
     * They started before the report arrived, and each may crash this target too.
     */
    public fun nonIsolatedSuspectsOf(report: CrashReport): List<I> {
        val suspected = report.suspects.filterNot { it.cleared }.map { it.fingerprint }.toSet()
        return shards.withShard(Unit) { it.nonIsolatedSuspectsOf(suspected) }
    }

    /** Returns the number of requests in flight. */
    public fun size(): Int = shards.withShard(Unit) { it.size }

    /**
     * Removes all requests in flight because the target crashed, and returns the report for the
     * agent's [SuspectRegistry] and for all connections.
     *
     * @param expiresAt time at which the requests are no longer suspects
     */
    public fun crash(crash: CrashId, expiresAt: Deadline): CrashReport = CrashReport(
        shards.withShard(Unit) { it.takeAll() }
            .flatMap { listOf(it.content, it.key) }
            .distinct()
            .map { Suspect(it, listOf(crash), cleared = false, expiresAt) },
    )
}
