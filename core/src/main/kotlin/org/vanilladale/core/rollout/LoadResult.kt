package org.vanilladale.core.rollout

import org.vanilladale.schema.Deadline

/** The reason why a load failed. The failures are counted by reason. */
public enum class LoadFailure(public val code: String) {
    WEIGHT_STORE_LIMIT("weight-store-limit"),
    WEIGHT_STORE_UNREACHABLE("weight-store-unreachable"),
    VERSION_MISSING("version-missing"),
    ENGINE_UNREACHABLE("engine-unreachable"),
    ENGINE_FAILED("engine-failed"),
    ;

    public companion object {
        /**
         * Returns the reason with [code], or [ENGINE_FAILED] if this version doesn't know [code].
         */
        public fun fromCode(code: String?): LoadFailure =
            entries.firstOrNull { it.code == code } ?: ENGINE_FAILED
    }
}

/** The reason why a command wasn't executed at all. The refusals are counted by reason. */
public enum class LoadRefusal(public val code: String) {
    /** The engine has received a higher fencing number. */
    FENCED("fenced"),

    /**
     * The lease of the command ended before it was sent, for example because the agent was paused.
     */
    LEASE_PASSED("lease-passed"),

    /** Tables that require a different plan became active before the command was sent. */
    REVISION_CHANGED("revision-changed"),
}

/** The result of a command. */
public sealed interface LoadResult {
    /** The engine executed the command. */
    public data object Completed : LoadResult

    /**
     * The load failed.
     *
     * @property retryAt the earliest time for a retry that the weight store specified, if any
     */
    public data class Failed(val reason: LoadFailure, val retryAt: Deadline? = null) : LoadResult

    /** The command wasn't executed. */
    public data class Refused(val reason: LoadRefusal) : LoadResult
}
