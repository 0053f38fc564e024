package org.vanilladale.core.crash

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.shard.Sharded
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RequestTrait
import org.vanilladale.schema.SuspectTrait
import org.vanilladale.schema.Timestamp

/**
 * Traits of requests with which targets crashed. This class is thread-safe.
 *
 * A request may crash each target that runs it, and come again with the same content. One part of
 * its prompt may do so whatever else the prompt holds, while the other parts are sound. A trait is
 * therefore suspect if targets crashed with it and none has answered a request with it since. A
 * suspect trait rests after a crash, then one request of all entries at a time tries it. The rest
 * grows with each crash, and any answer ends the suspicion. For a content, and for a part that
 * targets have answered before, one crash more is needed.
 *
 * Entries exchange their [reports], so that each learns from the crashes and answers of all.
 *
 * [SuspectRegistry] does the same for targets that can run a request alone.
 */
public class TraitSuspects {
    private val shards = Sharded<RequestTrait, TraitShard>(SHARDS) { TraitShard() }

    /** Returns the refusal of a request with [traits], or null if [begin] may admit it. */
    public fun refusalOrNull(traits: Collection<RequestTrait>, now: Timestamp): Refusal? {
        val suspicions = traits.mapNotNull { trait ->
            shards.withShard(trait) { it.suspicionOrNull(trait, now) }
        }
        // A crash of a request with several suspects would not tell which of them is the cause.
        val extraMilliseconds = if (suspicions.size > 1) SEVERAL_SUSPECTS_MILLISECONDS else 0
        return suspicions.mapNotNull { waitOrNull(it, extraMilliseconds, now) }
            .maxOrNull()
            ?.let { Refusal(RefusalReason.SUSPECT_CONTENT, retryAt = it) }
    }

    private fun waitOrNull(
        suspicion: Suspicion,
        extraMilliseconds: Long,
        now: Timestamp,
    ): Deadline? {
        val restsUntil = Deadline.fromEpochMilliseconds(
            suspicion.restsUntil.epochMilliseconds + extraMilliseconds,
        )
        return when {
            !restsUntil.hasPassed(now) -> restsUntil
            suspicion.isTried -> now.deadlineAfter(TraitRecord.INCIDENT_MILLISECONDS)
            else -> null
        }
    }

    /**
     * Admits a request with [traits], or refuses it.
     *
     * @return the suspect traits that the request tries. Call [end] with them after its attempt.
     */
    public fun begin(
        traits: Collection<RequestTrait>,
        now: Timestamp,
    ): Either<Refusal, Set<RequestTrait>> = refusalOrNull(traits, now)?.left()
        ?: traits.filterTo(HashSet()) { trait ->
            shards.withShard(trait) { it.beginTrial(trait, now) }
        }.right()

    /** Ends the trials of [tried] that [begin] started. */
    public fun end(tried: Set<RequestTrait>) {
        tried.forEach { trait -> shards.withShard(trait) { it.endTrial(trait) } }
    }

    /**
     * Records that a target ended before it answered a request with [traits].
     *
     * @return the traits that are suspect now
     */
    public fun recordCrash(traits: Collection<RequestTrait>, now: Timestamp): List<RequestTrait> =
        traits.filter { trait -> shards.withShard(trait) { it.recordCrash(trait, now) } }

    /**
     * Records that a target began to answer a request with [traits].
     *
     * @return the traits that were suspect before
     */
    public fun recordAnswer(traits: Collection<RequestTrait>, now: Timestamp): List<RequestTrait> =
        traits.filter { trait -> shards.withShard(trait) { it.recordAnswer(trait, now) } }

    /** Returns what other entries need to know, traits with the most crashes first. */
    public fun reports(now: Timestamp): List<SuspectTrait> = shards.mapShards { it.reports(now) }
        .flatten()
        .sortedWith(compareBy({ -it.crashAges.size }, { !it.trait.isPart }))
        .take(MAX_REPORTS)

    /** Merges [reports] of another entry. Repeated reports have no effect. */
    public fun merge(reports: List<SuspectTrait>, now: Timestamp) {
        reports.forEach { report -> shards.withShard(report.trait) { it.merge(report, now) } }
    }

    private companion object {
        const val SHARDS = 8

        /** Until then a request with one of the suspects has most likely tried it. */
        const val SEVERAL_SUSPECTS_MILLISECONDS = 3_000L

        /** Bounds the size of a heartbeat. Few traits are suspect at a time. */
        const val MAX_REPORTS = 32
    }
}
