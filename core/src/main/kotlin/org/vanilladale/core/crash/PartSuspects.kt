package org.vanilladale.core.crash

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.shard.Sharded
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.PrefixId
import org.vanilladale.schema.SuspectPart
import org.vanilladale.schema.Timestamp

/**
 * Parts of prompts with which targets crashed. This class is thread-safe.
 *
 * A part may crash each target that begins to answer a prompt with it, whatever else the prompt
 * holds, while the other parts of that prompt are sound. A part is therefore suspect if targets
 * crashed with it and none has answered a prompt with it since. A suspect part rests after a
 * crash, then one request at a time tries it. The rest grows with each crash, and any answer ends
 * the suspicion. For a part that targets have answered before, one crash more is needed.
 *
 * Entries exchange their [reports], so that each learns from the crashes and answers of all.
 */
public class PartSuspects {
    private val shards = Sharded<PrefixId, PartShard>(SHARDS) { PartShard() }

    /** Returns the refusal of a request with [parts], or null if [begin] may admit it. */
    public fun refusalOrNull(parts: Collection<PrefixId>, now: Timestamp): Refusal? = parts
        .mapNotNull { part -> shards.withShard(part) { it.waitOrNull(part, now) } }
        .maxOrNull()
        ?.let(::refuse)

    /**
     * Admits a request with [parts], or refuses it.
     *
     * @return the suspect parts that the request tries. Call [end] with them when its attempt ends.
     */
    public fun begin(parts: Collection<PrefixId>, now: Timestamp): Either<Refusal, Set<PrefixId>> {
        val tried = HashSet<PrefixId>()
        for (part in parts) {
            val retryAt = shards.withShard(part) { shard ->
                shard.waitOrNull(part, now).also { wait ->
                    if (wait == null && shard.beginTrial(part, now)) tried += part
                }
            } ?: continue
            end(tried)
            return refuse(retryAt).left()
        }
        return tried.right()
    }

    /** Ends the trials of [tried] that [begin] started. */
    public fun end(tried: Set<PrefixId>) {
        tried.forEach { part -> shards.withShard(part) { it.endTrial(part) } }
    }

    /**
     * Records that a target ended before it answered a request with [parts].
     *
     * @return the parts that are suspect now
     */
    public fun recordCrash(parts: Collection<PrefixId>, now: Timestamp): List<PrefixId> =
        parts.filter { part -> shards.withShard(part) { it.recordCrash(part, now) } }

    /**
     * Records that a target began to answer a request with [parts].
     *
     * @return the parts that were suspect before
     */
    public fun recordAnswer(parts: Collection<PrefixId>, now: Timestamp): List<PrefixId> =
        parts.filter { part -> shards.withShard(part) { it.recordAnswer(part, now) } }

    /** Returns what other entries need to know. */
    public fun reports(now: Timestamp): List<SuspectPart> =
        shards.mapShards { it.reports(now) }.flatten().take(MAX_REPORTS)

    /** Merges [reports] of another entry. Repeated reports have no effect. */
    public fun merge(reports: List<SuspectPart>, now: Timestamp) {
        reports.forEach { report -> shards.withShard(report.part) { it.merge(report, now) } }
    }

    private fun refuse(retryAt: Deadline) = Refusal(RefusalReason.SUSPECT_PART, retryAt = retryAt)

    private companion object {
        const val SHARDS = 8

        /** Bounds the size of a heartbeat. Few parts are suspect at a time. */
        const val MAX_REPORTS = 32
    }
}
