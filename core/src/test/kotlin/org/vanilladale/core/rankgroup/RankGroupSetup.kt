package org.vanilladale.core.rankgroup

import org.vanilladale.schema.ArmedMap
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Term

/**
 * Rule of the protocol that a simulation omits, to show that its absence is detected. The comments
 * of the entries describe the behaviour without the rule.
 */
internal enum class OmittedRule {
    NOTHING,
    COMPARE_TERM_ONLY,
    COMPARE_VERSION_ONLY,
    READ_BACK_AFTER_RESTART,
    WAIT_AFTER_RESTART,
    LEASE_RECHECK,

    /** A rank aborts on its own when a peer has promised a higher term. */
    ABORT_BY_HOLDER_ONLY,

    /** A delta is applied to the active map, whatever base it names. The digest is checked. */
    COMPARE_BASE,

    /** Like [COMPARE_BASE], and the digest of the result isn't checked either. */
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

/** Maximum lease of the simulated ranks. */
internal const val LEASE_MILLISECONDS = 2_000L

/**
 * Command of a crashed agent incarnation that reaches the engine of rank 0 late.
 *
 * @property at time at which the command arrives, in milliseconds
 * @property overwrites whether the command takes effect although the engine already holds a map
 */
internal data class LateHold(val at: Long, val map: ArmedMap, val overwrites: Boolean)

/**
 * Parameters of one simulation run.
 *
 * @property keepsFencing whether the engines keep fencing numbers
 * @property faultsUntil end of the time in which faults occur, in milliseconds; 0 for no faults
 * @property maxLateCommandMilliseconds maximum delay of a command of a crashed agent incarnation
 * @property experts number of experts of the group
 * @property measureBytes whether the encoded frames are counted
 * @property lateHold late command of a crashed agent incarnation, or null for none
 * @property preloadMilliseconds time in which an engine loads the weights of a map
 * @property movedExperts number of experts that a switch changes
 */
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

/** Returns the end of the digest of a simulated map, which covers all copies and weights. */
internal fun contentName(map: GroupMap, term: Term): String =
    map.digestUnder(term).text.take(CONTENT_NAME_LENGTH)

private const val CONTENT_NAME_LENGTH = 32

/** Returns the version number in the digest `v<number>-<name>` of a simulated map. */
internal fun version(digest: Digest): Int = digest.text.substringBefore('-').drop(1).toInt()
