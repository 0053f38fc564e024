package org.vanilladale.core.gateway

/**
 * What may be repeated on a route.
 *
 * @property mayRunAgain whether a request that may have run can be sent again
 * @property isStream whether the answer is a series of events with rising ids
 */
public enum class RepeatRule(public val mayRunAgain: Boolean, public val isStream: Boolean) {
    /** Repeating has no further effect. */
    IDEMPOTENT(true, false),

    /** Runs at most once. */
    AT_MOST_ONCE(false, false),

    /** A stream that runs at most once. */
    STREAM_AT_MOST_ONCE(false, true),

    /** A stream that another target can continue after the last event that was delivered. */
    RESUMABLE_STREAM(true, true),
}
