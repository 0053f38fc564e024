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
 * @property highestTerm highest term granted so far; the next holder needs a higher one
 * @property grantedFrom earliest time at which another holder can get the lease
 */
public data class LeaseDecision(
    val granted: Boolean,
    val highestTerm: Term,
    val grantedFrom: Timestamp,
)

/**
 * Lease of one rank. The agent of the rank grants it and measures it on its own clock.
 *
 * The state is lost on a restart. [restore] recovers the term from an engine that keeps fencing
 * numbers. With other engines no lease is granted before [earlierLeasesEndAt], when every lease
 * granted before the restart has expired.
 */
public class RankLease(
    private val maxLeaseMilliseconds: Long,
    private val earlierLeasesEndAt: Deadline,
) {
    private var restored = false
    private var holder: VmId? = null
    private var expiresAt: Deadline? = null

    /** Highest term granted or restored; 0 if none is known. */
    public var highestTerm: Term = Term(0)
        private set

    /** Restores the term that the engine has kept. */
    public fun restore(engineTerm: Term) {
        restored = true
        highestTerm = maxOf(highestTerm, engineTerm)
    }

    /** Returns true if no lease granted before the restart can conflict with a new one at [now]. */
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

    /** Ends the lease early. Returns false if [release] names a different holder or term. */
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
