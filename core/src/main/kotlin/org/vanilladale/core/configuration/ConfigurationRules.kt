package org.vanilladale.core.configuration

import org.vanilladale.schema.ConfigurationOffer
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Revision

/**
 * What a process knows about a stored revision that isn't in force yet.
 *
 * @property storedIn data centre of each connected peer that stores the same content
 * @property knownIn data centre of each known peer, connected or lost a short time ago
 * @property waitedForPeers true once the wait for peers after the start is over
 * @property settled true once this process has stored the revision for the settling time
 * @property contested true when two contents of the revision are known
 */
public data class AcceptanceEvidence(
    val ownDataCentre: DataCentreName,
    val storedBy: Int,
    val storedIn: List<DataCentreName>,
    val knownIn: List<DataCentreName>,
    val waitedForPeers: Boolean,
    val settled: Boolean,
    val contested: Boolean,
)

/**
 * Returns true when the death of any one process can't lose the revision.
 *
 * Few known peers lower the demand only after the wait for peers: right after a start a process
 * with its first connection would otherwise take one copy for enough.
 */
public fun isStoredWidely(evidence: AcceptanceEvidence): Boolean = with(evidence) {
    val required = if (waitedForPeers) minOf(storedBy, knownIn.size) else storedBy
    val otherExpected = !waitedForPeers || knownIn.any { it != ownDataCentre }
    val otherFound = storedIn.any { it != ownDataCentre }
    settled && !contested && storedIn.size >= required && (otherFound || !otherExpected)
}

/** Returns true when [candidate] may follow [inForce]. */
public fun isHigherRevision(inForce: Revision?, candidate: Revision): Boolean =
    inForce == null || candidate > inForce

/** The rules that protect the configuration; proofs replace one of them at a time. */
public class ConfigurationRules(
    public val accepts: (AcceptanceEvidence) -> Boolean = ::isStoredWidely,
    public val mayFollow: (inForce: Revision?, candidate: Revision) -> Boolean =
        ::isHigherRevision,
    public val offersOnConnect: (List<ConfigurationOffer>) -> List<ConfigurationOffer> = { it },
)
