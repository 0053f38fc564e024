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
 * Requests that were in flight when targets crashed. This class is thread-safe.
 *
 * A suspect is a request that may have caused a crash. It runs isolated, and it counts as convicted
 * and is refused after a second crash. Processes that merged the same reports, in any order, make
 * the same decisions.
 */
public class SuspectRegistry(limits: SuspectLimits) {
    private val shards = Sharded<Fingerprint, SuspectShard>(limits.shardCount) {
        SuspectShard(
            limits.maximumRecords / limits.shardCount,
            limits.maximumLifetimeMilliseconds,
            limits.settleMilliseconds,
        )
    }

    /**
     * Decides how [request] runs.
     *
     * @param live targets that may run the request; for a bound request only its bound target
     */
    public fun decide(
        request: RequestFingerprints,
        live: Collection<TargetId>,
        now: Timestamp,
    ): SuspectDecision {
        val (byContent, byKey, crashes) = suspicionOf(request, now)
        if (crashes == 0) return SuspectDecision.Run
        if (crashes >= MIN_CRASHES_TO_CONVICT) return refuse(RefusalReason.SUSPECT_CONVICTED, byKey)
        val target = rendezvousChoice(request.content.text, live) { it.text }
            ?: return refuse(RefusalReason.NO_TARGET, byKey)
        val settledAt = listOfNotNull(byContent, byKey).maxOf { it.settledAt }
        return SuspectDecision.RunIsolated(target, settledAt)
    }

    /**
     * Returns the refusal if an agent may not start [request] now, or null if it may.
     *
     * The entry that sent the request may not have received a crash report that this process has.
     */
    public fun startRefusalOrNull(
        request: RequestFingerprints,
        isolated: Boolean,
        now: Timestamp,
    ): Refusal? {
        val (_, byKey, crashes) = suspicionOf(request, now)
        return when {
            crashes >= MIN_CRASHES_TO_CONVICT ->
                refuse(RefusalReason.SUSPECT_CONVICTED, byKey).refusal

            crashes > 0 && !isolated -> refuse(RefusalReason.SUSPECT_WAITING, byKey).refusal

            else -> null
        }
    }

    /** Refuses a request. If its own key was in flight at a crash, it may have partly run. */
    private fun refuse(reason: RefusalReason, byKey: CrashRecord?) = SuspectDecision.Refuse(
        Refusal(reason, if (byKey == null) RunState.NO else RunState.UNKNOWN),
    )

    /** Merges a report and returns the new part of it to be forwarded, or null if there is none. */
    public fun merge(report: CrashReport, now: Timestamp): CrashReport? = report.suspects
        .filter { suspect -> shards.withShard(suspect.fingerprint) { it.merge(suspect, now) } }
        .takeIf { it.isNotEmpty() }
        ?.let { CrashReport(it) }

    /**
     * Clears [request] after it completed an isolated run, and returns the report to be forwarded,
     * or null if the request was no suspect.
     */
    public fun clear(request: RequestFingerprints, now: Timestamp): CrashReport? =
        listOf(request.content, request.key)
            .mapNotNull { fingerprint ->
                shards.withShard(fingerprint) { it.clear(fingerprint, now) }
            }
            .takeIf { it.isNotEmpty() }
            ?.let { CrashReport(it) }

    /** Returns all records for a new connection, split into reports that fit into a frame. */
    public fun reports(now: Timestamp): List<CrashReport> = shards.mapShards {
        it.suspects(now)
    }.flatten().chunked(SUSPECTS_PER_REPORT).map(::CrashReport)

    /** Removes expired records and returns their number. */
    public fun forgetExpired(now: Timestamp): Int = shards.mapShards { it.forgetExpired(now) }.sum()

    /** Returns the number of records, counted one shard after another. */
    public fun size(): Int = shards.mapShards { it.size }.sum()

    /**
     * Open crash records that match a request.
     *
     * @property crashes the larger number of open crashes of the two records
     */
    private data class Suspicion(
        val byContent: CrashRecord?,
        val byKey: CrashRecord?,
        val crashes: Int,
    )

    private fun suspicionOf(request: RequestFingerprints, now: Timestamp): Suspicion {
        val byContent = openRecordOrNull(request.content, now)
        val byKey = openRecordOrNull(request.key, now)
        return Suspicion(byContent, byKey, maxOf(byContent.crashCount, byKey.crashCount))
    }

    private fun openRecordOrNull(fingerprint: Fingerprint, now: Timestamp): CrashRecord? =
        shards.withShard(fingerprint) { it.openRecordOrNull(fingerprint, now) }

    private val CrashRecord?.crashCount: Int get() = this?.open.orEmpty().size

    private companion object {
        /**
         * Number of open crashes from which on a request counts as convicted. The first crash may
         * have been caused by another request, but the second one happened while the suspect ran
         * isolated.
         */
        const val MIN_CRASHES_TO_CONVICT = 2

        /**
         * Maximum number of suspects in one report. A suspect has at most 64 ids of about 66 bytes,
         * so 128 suspects stay below 1 MiB.
         */
        const val SUSPECTS_PER_REPORT = 128
    }
}
