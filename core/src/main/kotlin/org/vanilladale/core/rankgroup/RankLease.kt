package org.vanilladale.core.rankgroup

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.LeaseRelease
import org.vanilladale.schema.LeaseRequest
import org.vanilladale.schema.Term
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/**
 * Answer of a rank to a lease request.
 *
 * @property highestTerm highest term granted so far; a later request needs a higher one
 * @property grantedFrom earliest time at which another holder can get the lease
 */
public data class LeaseDecision(
    val granted: Boolean,
    val highestTerm: Term,
    val grantedFrom: Timestamp,
)

/**
 * Lease of one rank. Its agent is the arbiter and measures the lease on its own clock.
 *
 * The state is empty after a restart. [restore] fills the term in from an engine that keeps fencing
 * numbers; with other engines nothing is granted until [earlierLeasesEndAt], when every lease of the
 * earlier incarnation has expired.
 */
public class RankLease(
    private val maxLeaseMilliseconds: Long,
    private val earlierLeasesEndAt: Deadline,
) {
    private var restored = false
    private var holder: VmId? = null
    private var expiresAt: Deadline? = null

    /** Highest term granted or read back; 0 when none is known. */
    public var highestTerm: Term = Term(0)
        private set

    /** Takes over the term that the engine kept. */
    public fun restore(engineTerm: Term) {
        restored = true
        highestTerm = maxOf(highestTerm, engineTerm)
    }

    /** Returns true when the state of the earlier incarnation can no longer matter at [now]. */
    public fun isRecovered(now: Timestamp): Boolean = restored || earlierLeasesEndAt.hasPassed(now)

    /** Grants, renews or refuses the lease. */
    public fun request(request: LeaseRequest, now: Timestamp): LeaseDecision {
        val held = expiresAt?.hasPassed(now) == false
        val renewal = held && request.holder == holder && request.term == highestTerm
        val granted = isRecovered(now) && (renewal || !held && request.term > highestTerm)
        if (granted) {
            val length = request.leaseMilliseconds.coerceIn(0, maxLeaseMilliseconds)
            val until = now.deadlineAfter(length)
            expiresAt = expiresAt?.takeIf { renewal && it > until } ?: until
            holder = request.holder
            highestTerm = request.term
        }
        return LeaseDecision(granted, highestTerm, earliestGrant(now))
    }

    /** Ends the lease early; returns false when [release] names another holder or term. */
    public fun release(release: LeaseRelease): Boolean {
        if (release.holder != holder || release.term != highestTerm) return false
        expiresAt = null
        return true
    }

    private fun earliestGrant(now: Timestamp): Timestamp {
        val recoveredAt = if (isRecovered(now)) {
            now.epochMilliseconds
        } else {
            earlierLeasesEndAt.epochMilliseconds
        }
        val leaseEnd = expiresAt?.epochMilliseconds ?: now.epochMilliseconds
        return Timestamp.fromEpochMilliseconds(maxOf(now.epochMilliseconds, recoveredAt, leaseEnd))
    }
}
