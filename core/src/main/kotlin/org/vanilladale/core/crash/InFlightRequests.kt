package org.vanilladale.core.crash

import org.vanilladale.core.shard.Sharded
import org.vanilladale.schema.CrashId
import org.vanilladale.schema.CrashReport
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Suspect

/**
 * Requests in flight on one target, for use from several threads.
 *
 * A request that runs isolated is the only one in flight, and a waiting one holds back later
 * starts, so that it isn't starved.
 *
 * @param I names a request at the agent, over all connections
 */
public class InFlightRequests<I : Any> {
    // Isolation is a property of the whole target, so there is one shard.
    private val shards = Sharded<Unit, InFlightState<I>>(1) { InFlightState() }

    /** Starts the request, or tells it to wait. */
    public fun start(id: I, request: RequestFingerprints, isolated: Boolean): StartDecision =
        shards.withShard(Unit) { it.start(id, request, isolated) }

    /** Records that the request ended or gave up its wait; unknown ids are ignored. */
    public fun stop(id: I) {
        shards.withShard(Unit) { it.stop(id) }
    }

    /**
     * Returns the requests in flight that [report] suspects and that don't run alone.
     *
     * They started before the report came; each may crash this target too.
     */
    public fun nonIsolatedSuspectsOf(report: CrashReport): List<I> {
        val suspected = report.suspects.filterNot { it.cleared }.map { it.fingerprint }.toSet()
        return shards.withShard(Unit) { it.nonIsolatedSuspectsOf(suspected) }
    }

    /** Returns the number of requests in flight. */
    public fun size(): Int = shards.withShard(Unit) { it.size }

    /**
     * Ends every request in flight because the target crashed, and returns the report for the own
     * [SuspectRegistry] and for all connections.
     *
     * @param expiresAt when the suspicion ends
     */
    public fun crash(crash: CrashId, expiresAt: Deadline): CrashReport = CrashReport(
        shards.withShard(Unit) { it.takeAll() }
            .flatMap { listOf(it.content, it.key) }
            .distinct()
            .map { Suspect(it, listOf(crash), cleared = false, expiresAt) },
    )
}
