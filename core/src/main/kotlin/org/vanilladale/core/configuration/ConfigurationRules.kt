package org.vanilladale.core.configuration

import org.vanilladale.schema.ConfigurationOffer
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Revision

/**
 * What a process knows about a stored revision that isn't active yet.
 *
 * @property storedBy the number of other processes that must store the revision
 * @property copyDataCentres the data centre of each connected peer that stores the same content
 * @property knownDataCentres the data centre of each known peer, whether it is connected or was
 *   disconnected recently
 * @property peerWaitEnded true if the wait for peers after the start has ended
 * @property settled true if this process has stored the revision for the settling time
 * @property contested true if different contents of the revision are known
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
 * Returns true if the revision survives the failure of any single process.
 *
 * The number of known peers limits the required copies only after the wait for peers has ended.
 * Otherwise, a process with a single connection right after its start would require only one copy.
 */
public fun isDurablyStored(evidence: AcceptanceEvidence): Boolean = with(evidence) {
    val required = if (peerWaitEnded) minOf(storedBy, knownDataCentres.size) else storedBy
    val otherExpected = !peerWaitEnded || knownDataCentres.any { it != ownDataCentre }
    val otherFound = copyDataCentres.any { it != ownDataCentre }
    settled && !contested && copyDataCentres.size >= required && (otherFound || !otherExpected)
}

/** Returns true if [candidate] is higher than [active] or if no revision is active. */
public fun isHigherRevision(active: Revision?, candidate: Revision): Boolean =
    active == null || candidate > active

/**
 * The rules that keep the configuration consistent.
 *
 * Tests replace one rule at a time to show that each of them is necessary.
 */
public class ConfigurationRules(
    public val accepts: (AcceptanceEvidence) -> Boolean = ::isDurablyStored,
    public val mayReplace: (active: Revision?, candidate: Revision) -> Boolean =
        ::isHigherRevision,
    public val offersOnConnect: (List<ConfigurationOffer>) -> List<ConfigurationOffer> = { it },
)
