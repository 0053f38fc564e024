package org.vanilladale.core.crash

import kotlin.math.abs
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Crashes of targets with one trait of requests, and the first answer to one with it since.
 *
 * @property isPart whether the trait is a part of prompts and not the content of one request
 * @property crashes times of the crashes in ascending order. Crashes close together count as one:
 *   several requests may hold the part at the time of the first, and other entries report a crash
 *   with a delay.
 */
internal data class TraitRecord(
    val isPart: Boolean,
    val crashes: List<Timestamp> = emptyList(),
    val answeredAt: Timestamp? = null,
) {
    fun withCrash(at: Timestamp): TraitRecord {
        val incident = if (isPart) INCIDENT_MILLISECONDS else MAX_REPORT_DELAY_MILLISECONDS
        val isKnown = crashes.any { abs(it.millisecondsSince(at)) < incident }
        return if (isKnown) this else copy(crashes = (crashes + at).sorted().takeLast(MAX_CRASHES))
    }

    /** Adds an answer. One that ends no suspicion is left out; other entries need not know it. */
    fun withAnswer(at: Timestamp): TraitRecord {
        val isNews = answeredAt == null || crashes.any { it > answeredAt && it < at }
        return if (isNews) copy(answeredAt = at) else this
    }

    /** Returns the time until which the trait rests, or null if it is not suspect. */
    fun restsUntilOrNull(): Deadline? {
        val open = crashes.filter { answeredAt == null || it > answeredAt }
        // One crash must not keep a sound request that was in flight there from another target.
        val level = if (isPart && answeredAt == null) open.size else open.size - 1
        val last = open.lastOrNull()
        if (last == null || level < 1) return null
        if (level == 1) return last.deadlineAfter(INCIDENT_MILLISECONDS)
        return last.deadlineAfter(CONVICTED_REST_MILLISECONDS shl (level - 2))
    }

    /** Whether other entries may not know the record yet, or need it if they start now. */
    fun isNews(now: Timestamp): Boolean {
        val changedAt = listOfNotNull(crashes.lastOrNull(), answeredAt).maxOrNull()
        return restsUntilOrNull()?.hasPassed(now) == false ||
            changedAt != null && now.millisecondsSince(changedAt) < NEWS_MILLISECONDS
    }

    fun isForgotten(now: Timestamp): Boolean =
        crashes.lastOrNull()?.let { now.millisecondsSince(it) >= LIFETIME_MILLISECONDS } != false

    companion object {
        /** Time after the first crash in which requests that were in flight then may crash more. */
        const val INCIDENT_MILLISECONDS = 1_500L

        /** The same crash is reported again later by no more than this. */
        private const val MAX_REPORT_DELAY_MILLISECONDS = 250L

        /** Time until a trait that crashed targets twice in a row is tried again. */
        private const val CONVICTED_REST_MILLISECONDS = 30_000L
        private const val LIFETIME_MILLISECONDS = 600_000L

        /** Several heartbeats, since some may be lost. */
        private const val NEWS_MILLISECONDS = 5_000L
        private const val MAX_CRASHES = 8
    }
}
