package org.vanilladale.core.crash

import org.vanilladale.core.hash.rendezvousChoice
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.shard.Sharded
import org.vanilladale.schema.CrashReport
import org.vanilladale.schema.Fingerprint
import org.vanilladale.schema.RunState
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Requests that were in flight when targets crashed, for use from several threads.
 *
 * Processes that merged the same reports in any order decide alike.
 */
public class SuspectBook(limits: SuspectLimits) {
    private val shards = Sharded<Fingerprint, SuspectShard>(limits.shardCount) {
        SuspectShard(limits.maximumRecords / limits.shardCount, limits.longestRecordMilliseconds)
    }

    /**
     * Decides how [request] runs.
     *
     * @param live targets that may run it; for a bound request only the target of its binding
     */
    public fun decide(
        request: RequestFingerprints,
        live: Collection<TargetId>,
        now: Timestamp,
    ): SuspectDecision {
        val byContent = openCrashes(request.content, now)
        val byKey = openCrashes(request.key, now)
        return when (maxOf(byContent, byKey)) {
            0 -> SuspectDecision.Run
            in 1 until CONVICTING_CRASHES ->
                rendezvousChoice(request.content.text, live) { it.text }
                    ?.let { SuspectDecision.RunIsolated(it) }
                    ?: refuse(RefusalReason.NO_TARGET, byKey)
            else -> refuse(RefusalReason.SUSPECT_CONVICTED, byKey)
        }
    }

    /** A request whose own key was in flight at a crash may have run in part. */
    private fun refuse(reason: RefusalReason, crashesByKey: Int) = SuspectDecision.Refuse(
        Refusal(reason, if (crashesByKey == 0) RunState.NO else RunState.UNKNOWN),
    )

    /** Takes a report; returns the part that was new, to send on, or null when nothing was. */
    public fun merge(report: CrashReport, now: Timestamp): CrashReport? = report.suspects
        .filter { suspect -> shards.withShard(suspect.fingerprint) { it.merge(suspect, now) } }
        .takeIf { it.isNotEmpty() }
        ?.let { CrashReport(it) }

    /**
     * Clears [request] after it completed while it ran alone; returns the report to send on, or
     * null when it was not suspected.
     */
    public fun clear(request: RequestFingerprints, now: Timestamp): CrashReport? =
        listOf(request.content, request.key)
            .mapNotNull { fingerprint ->
                shards.withShard(fingerprint) { it.clear(fingerprint, now) }
            }
            .takeIf { it.isNotEmpty() }
            ?.let { CrashReport(it) }

    /** Returns all that is known, for a new connection, in pieces that fit a frame. */
    public fun reports(now: Timestamp): List<CrashReport> = shards.mapShards {
        it.suspects(now)
    }.flatten().chunked(SUSPECTS_A_REPORT).map(::CrashReport)

    /** Removes expired records; returns their number. */
    public fun forgetExpired(now: Timestamp): Int = shards.mapShards { it.forgetExpired(now) }.sum()

    /** Returns the number of records, one shard after the other. */
    public fun size(): Int = shards.mapShards { it.size }.sum()

    private fun openCrashes(fingerprint: Fingerprint, now: Timestamp): Int =
        shards.withShard(fingerprint) { it.openCrashes(fingerprint, now).size }

    private companion object {
        /** One crash may be another request's fault; the second one came while it ran alone. */
        const val CONVICTING_CRASHES = 2

        /** A suspect holds at most 64 ids of about 66 bytes; 128 of them stay below 1 MiB. */
        const val SUSPECTS_A_REPORT = 128
    }
}
