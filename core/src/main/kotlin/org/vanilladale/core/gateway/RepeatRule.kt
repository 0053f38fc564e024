package org.vanilladale.core.gateway

/**
 * Specifies whether the requests of a route may be repeated.
 *
 * @property mayRunAgain whether a request that may have run already can be sent again
 * @property isStream whether the answer is a sequence of events with increasing ids
 */
public enum class RepeatRule(public val mayRunAgain: Boolean, public val isStream: Boolean) {
    /** A request has the same effect whether it runs once or several times. */
    IDEMPOTENT(true, false),

    /** A request runs at most once. */
    AT_MOST_ONCE(false, false),

    /** A request is answered by a stream and runs at most once. */
    STREAM_AT_MOST_ONCE(false, true),

    /** A request is answered by a stream that another target can resume after the last event. */
    RESUMABLE_STREAM(true, true),
}
