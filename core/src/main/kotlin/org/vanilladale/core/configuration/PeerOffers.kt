package org.vanilladale.core.configuration

import org.vanilladale.core.hash.chooseByRendezvous
import org.vanilladale.schema.ConfigurationOffer
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Revision
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/**
 * The offers received from and sent to each peer.
 *
 * This class is mutable and guarded by the same lock as [ConfigurationState].
 */
internal class PeerOffers(private val settings: ConfigurationStateSettings) {
    private class Peer(val dataCentre: DataCentreName) {
        val offers = mutableMapOf<Revision, ConfigurationOffer>()
        val sent = mutableSetOf<ConfigurationOffer>()
        var pullCount = 0
        var removeAt: Deadline? = null
        val connected get() = removeAt == null
    }

    private val peers = sortedMapOf<VmId, Peer>(compareBy { it.text })

    /**
     * Registers a connection to [vm].
     *
     * If the peer is already connected, its offers are kept, because they may have arrived over the
     * new connection. All own offers are sent again.
     */
    fun connect(vm: VmId, dataCentre: DataCentreName) {
        val offered = peers[vm]?.takeIf { it.connected }?.offers.orEmpty()
        peers[vm] = Peer(dataCentre).apply { offers += offered }
    }

    fun disconnect(vm: VmId, now: Timestamp) {
        val peer = peers[vm] ?: return
        peers[vm] = Peer(peer.dataCentre).apply {
            removeAt = now.deadlineAfter(settings.lostPeerMilliseconds)
        }
    }

    fun removeExpired(now: Timestamp) {
        peers.values.removeIf { it.removeAt?.hasPassed(now) == true }
    }

    /** Records [offer] and returns true, or returns false if [vm] isn't connected. */
    fun recordOffer(vm: VmId, offer: ConfigurationOffer): Boolean {
        val peer = peers[vm]?.takeIf { it.connected } ?: return false
        val known = peer.offers[offer.revision]
        // A peer never revokes accepted content, and frames of a connection arrive in order, so an
        // accepted offer isn't overwritten.
        if (known?.accepted != true) peer.offers[offer.revision] = offer
        while (peer.offers.size > settings.maxStoredRevisions) {
            peer.offers.remove(peer.offers.keys.min())
        }
        return true
    }

    /** Removes the offer of [vm] for [revision], after [vm] failed to deliver the content. */
    fun withdraw(vm: VmId, revision: Revision) {
        peers[vm]?.offers?.remove(revision)
    }

    fun connected(): Set<VmId> = peers.filterValues { it.connected }.keys

    fun knownDataCentres(): List<DataCentreName> = peers.values.map { it.dataCentre }

    fun dataCentresStoring(revision: Revision, digest: Digest): List<DataCentreName> =
        peers.values.filter { it.offers[revision]?.digest == digest }.map { it.dataCentre }

    fun isAcceptedByPeer(revision: Revision, digest: Digest): Boolean = peers.values.any { peer ->
        peer.offers[revision]?.let { it.accepted && it.digest == digest } == true
    }

    fun hasOffered(vm: VmId, offer: ConfigurationOffer): Boolean =
        peers[vm]?.offers?.get(offer.revision) == offer

    /**
     * Marks [offer] as sent to [vm]. Returns false if it was already sent or [vm] isn't connected.
     */
    fun markSent(vm: VmId, offer: ConfigurationOffer): Boolean {
        val peer = peers[vm]?.takeIf { it.connected } ?: return false
        val isNew = peer.sent.add(offer)
        while (peer.sent.size > 2 * settings.maxStoredRevisions) {
            peer.sent.remove(peer.sent.minBy { it.revision })
        }
        return isNew
    }

    /**
     * Returns the peers to send [offer] to immediately. Peers that have already accepted its
     * revision are left out.
     */
    fun fanOut(offer: ConfigurationOffer): List<VmId> = chooseByRendezvous(
        connected(),
        settings.fanOut,
        "${settings.self}/${offer.revision}",
        { it.text },
        { peers.getValue(it).dataCentre != settings.dataCentre },
    ).filter { peers.getValue(it).offers[offer.revision]?.accepted != true }

    /**
     * Chooses the offer to pull among those that match [wanted], and counts the pull.
     *
     * Accepted offers come first, then higher revisions, then the peer with the fewest pulls so
     * far.
     */
    fun choosePullOrNull(
        wanted: (ConfigurationOffer) -> Boolean,
    ): Pair<VmId, ConfigurationOffer>? = peers
        .flatMap { (vm, peer) -> peer.offers.values.filter(wanted).map { vm to it } }
        .maxWithOrNull(
            compareBy(
                { (_, offer) -> offer.accepted },
                { (_, offer) -> offer.revision },
                { (vm, _) -> -peers.getValue(vm).pullCount },
            ),
        )?.also { (vm, _) -> peers.getValue(vm).pullCount++ }
}
