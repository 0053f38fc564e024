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
     * @param live targets that may run it; for a bound request only the target of its binding
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
     * Returns why an agent may not start [request] now, or null when it may.
     *
     * The entry that sent it may not have heard of a crash that this process knows.
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

    /** A request whose own key was in flight at a crash may have run in part. */
    private fun refuse(reason: RefusalReason, byKey: CrashRecord?) = SuspectDecision.Refuse(
        Refusal(reason, if (byKey == null) RunState.NO else RunState.UNKNOWN),
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
    }.flatten().chunked(SUSPECTS_PER_REPORT).map(::CrashReport)

    /** Removes expired records; returns their number. */
    public fun forgetExpired(now: Timestamp): Int = shards.mapShards { it.forgetExpired(now) }.sum()

    /** Returns the number of records, one shard after the other. */
    public fun size(): Int = shards.mapShards { it.size }.sum()

    /** What is held against a request; [crashes] is the larger number of open crashes. */
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
        /** One crash may be another request's fault; the second one came while it ran alone. */
        const val MIN_CRASHES_TO_CONVICT = 2

        /** A suspect holds at most 64 ids of about 66 bytes; 128 of them stay below 1 MiB. */
        const val SUSPECTS_PER_REPORT = 128
    }
}
