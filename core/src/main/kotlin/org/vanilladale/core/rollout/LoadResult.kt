package org.vanilladale.core.rollout

import org.vanilladale.schema.Deadline

/** Why a load failed. Each reason has a counter. */
public enum class LoadFailure(public val code: String) {
    WEIGHT_STORE_LIMIT("weight-store-limit"),
    WEIGHT_STORE_UNREACHABLE("weight-store-unreachable"),
    VERSION_MISSING("version-missing"),
    ENGINE_UNREACHABLE("engine-unreachable"),
    ENGINE_FAILED("engine-failed"),
    ;

    public companion object {
        /** Returns the reason with [code]; one of another version counts as [ENGINE_FAILED]. */
        public fun fromCode(code: String?): LoadFailure =
            entries.firstOrNull { it.code == code } ?: ENGINE_FAILED
    }
}

/** Why a command was not carried out at all. Each reason has a counter. */
public enum class LoadRefusal(public val code: String) {
    /** The engine has seen a higher fencing number. */
    FENCED("fenced"),

    /** The lease of the command ended before it was sent, as after a pause of the agent. */
    LEASE_PASSED("lease-passed"),

    /** Tables that ask for something else came into force before the command was sent. */
    REVISION_CHANGED("revision-changed"),
}

/** How a command ended. */
public sealed interface LoadResult {
    /** The engine has carried the command out. */
    public data object Completed : LoadResult

    /** [retryAt] is the time that the weight store named, if any. */
    public data class Failed(val reason: LoadFailure, val retryAt: Deadline? = null) : LoadResult

    public data class Refused(val reason: LoadRefusal) : LoadResult
}
