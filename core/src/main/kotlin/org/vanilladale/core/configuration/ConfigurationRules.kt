package org.vanilladale.core.configuration

import org.vanilladale.schema.ConfigurationOffer
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Revision

/**
 * What a process knows about a stored revision that isn't in force yet.
 *
 * @property copyDataCentres data centre of each connected peer that stores the same content
 * @property knownDataCentres data centre of each known peer, connected or lost a short time ago
 * @property peerWaitEnded true once the wait for peers after the start is over
 * @property settled true once this process has stored the revision for the settling time
 * @property contested true when two contents of the revision are known
 */
public data class AcceptanceEvidence(
    val ownDataCentre: DataCentreName,
    val storedBy: Int,
    val copyDataCentres: List<DataCentreName>,
    val knownDataCentres: List<DataCentreName>,
    val peerWaitEnded: Boolean,
    val settled: Boolean,
    val contested: Boolean,
)

/**
 * Returns true when the death of any one process can't lose the revision.
 *
 * Few known peers lower the demand only after the wait for peers: right after a start a process
 * with its first connection would otherwise take one copy for enough.
 */
public fun isDurablyStored(evidence: AcceptanceEvidence): Boolean = with(evidence) {
    val required = if (peerWaitEnded) minOf(storedBy, knownDataCentres.size) else storedBy
    val otherExpected = !peerWaitEnded || knownDataCentres.any { it != ownDataCentre }
    val otherFound = copyDataCentres.any { it != ownDataCentre }
    settled && !contested && copyDataCentres.size >= required && (otherFound || !otherExpected)
}

/** Returns true when [candidate] may follow [active]. */
public fun isHigherRevision(active: Revision?, candidate: Revision): Boolean =
    active == null || candidate > active

/** The rules that protect the configuration; proofs replace one of them at a time. */
public class ConfigurationRules(
    public val accepts: (AcceptanceEvidence) -> Boolean = ::isDurablyStored,
    public val mayReplace: (active: Revision?, candidate: Revision) -> Boolean =
        ::isHigherRevision,
    public val offersOnConnect: (List<ConfigurationOffer>) -> List<ConfigurationOffer> = { it },
)
