package org.vanilladale.core.configuration

import org.vanilladale.core.hash.chooseByRendezvous
import org.vanilladale.schema.ConfigurationOffer
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Revision
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/** What each peer offered and was sent; mutable, used under the lock of [ConfigurationState]. */
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
     * Takes in a connection. A further one to a connected peer keeps what the peer offered, as the
     * peer may already have offered it over this one, and tells everything again.
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

    /** Records [offer]; returns false when [vm] isn't connected. */
    fun recordOffer(vm: VmId, offer: ConfigurationOffer): Boolean {
        val peer = peers[vm]?.takeIf { it.connected } ?: return false
        val known = peer.offers[offer.revision]
        // Frames of one connection arrive in order, so accepted content is never taken back.
        if (known?.accepted != true) peer.offers[offer.revision] = offer
        while (peer.offers.size > settings.maxStoredRevisions) {
            peer.offers.remove(peer.offers.keys.min())
        }
        return true
    }

    /** Drops what [vm] offered for [revision] after it failed to deliver it. */
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

    /** Returns true the first time that [offer] is to be sent to [vm]. */
    fun markSent(vm: VmId, offer: ConfigurationOffer): Boolean {
        val peer = peers[vm]?.takeIf { it.connected } ?: return false
        val isNew = peer.sent.add(offer)
        while (peer.sent.size > 2 * settings.maxStoredRevisions) {
            peer.sent.remove(peer.sent.minBy { it.revision })
        }
        return isNew
    }

    /** Returns the peers that get [offer] at once, without those that hold it as accepted. */
    fun fanOut(offer: ConfigurationOffer): List<VmId> = chooseByRendezvous(
        connected(),
        settings.fanOut,
        "${settings.self}/${offer.revision}",
        { it.text },
        { peers.getValue(it).dataCentre != settings.dataCentre },
    ).filter { peers.getValue(it).offers[offer.revision]?.accepted != true }

    /** Returns the best offer among those that are [wanted], from the peer asked least so far. */
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
