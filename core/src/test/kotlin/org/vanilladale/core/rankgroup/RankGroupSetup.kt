package org.vanilladale.core.rankgroup

import org.vanilladale.schema.ArmedMap
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Term

/** Rule that a run leaves out. */
internal enum class OmittedRule {
    NOTHING,
    COMPARE_TERM_ONLY,
    COMPARE_VERSION_ONLY,
    READ_BACK_AFTER_RESTART,
    WAIT_AFTER_RESTART,
    LEASE_RECHECK,

    /** A rank aborts by itself when one peer has promised a higher term. */
    ABORT_BY_HOLDER_ONLY,

    /** A change is applied to the active map, whatever base it names; its digest is checked. */
    COMPARE_BASE,

    /** As [COMPARE_BASE], and the digest of the result isn't checked either. */
    COMPARE_BASE_AND_RESULT,
    ;

    fun mapStore() = MapStore(
        baseOf = { named, active ->
            if (this == COMPARE_BASE || this == COMPARE_BASE_AND_RESULT) active else named
        },
        matches = { digest, map, term ->
            this == COMPARE_BASE_AND_RESULT || digest.text.endsWith(contentName(map, term))
        },
    )

    fun isSameSwitch(left: ArmedMap, right: ArmedMap): Boolean = when (this) {
        COMPARE_TERM_ONLY -> left.term == right.term
        COMPARE_VERSION_ONLY -> version(left.digest) == version(right.digest)
        else -> left == right
    }
}

/** Longest lease of the simulated ranks, in milliseconds. */
internal const val LEASE_MILLISECONDS = 2_000L

/** Order of a dead agent incarnation that reaches the engine of rank 0 at [at]. */
internal data class LateHold(val at: Long, val map: ArmedMap, val overwrites: Boolean)

internal data class SimulationSetup(
    val seed: Int,
    val rankCount: Int,
    val keepsFencing: Boolean,
    val omitted: OmittedRule = OmittedRule.NOTHING,
    val faultsUntil: Long = 6_000,
    val maxLateCommandMilliseconds: Long = 1_400,
    val coordinatorCount: Int = 2,
    val experts: Int = 8,
    val measureBytes: Boolean = false,
    val lateHold: LateHold? = null,
    val preloadMilliseconds: Long = 0,
    val movedExperts: Int = 2,
)

/** End of the digest of a simulated map, which names every copy and weight. */
internal fun contentName(map: GroupMap, term: Term): String =
    map.digestUnder(term).text.take(CONTENT_NAME_LENGTH)

private const val CONTENT_NAME_LENGTH = 32

/** Version number in the digest `v<number>-<name>` of a simulated map. */
internal fun version(digest: Digest): Int = digest.text.substringBefore('-').drop(1).toInt()
