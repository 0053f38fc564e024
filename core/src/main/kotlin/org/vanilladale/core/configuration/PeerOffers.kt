package org.vanilladale.core.configuration

import org.vanilladale.core.hash.chooseByRendezvous
import org.vanilladale.schema.ConfigurationOffer
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Revision
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/** What each peer offered and was told; mutable, used under the lock of [ConfigurationState]. */
internal class PeerOffers(private val settings: ConfigurationStateSettings) {
    private class Peer(val dataCentre: DataCentreName) {
        val offers = mutableMapOf<Revision, ConfigurationOffer>()
        val told = mutableSetOf<ConfigurationOffer>()
        var pulls = 0
        var forgetAt: Deadline? = null
        val connected get() = forgetAt == null
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
            forgetAt = now.deadlineAfter(settings.forgetMilliseconds)
        }
    }

    fun forget(now: Timestamp) {
        peers.values.removeIf { it.forgetAt?.hasPassed(now) == true }
    }

    /** Records [offer]; returns false when [vm] isn't connected. */
    fun note(vm: VmId, offer: ConfigurationOffer): Boolean {
        val peer = peers[vm]?.takeIf { it.connected } ?: return false
        val known = peer.offers[offer.revision]
        // Frames of one connection arrive in order, so accepted content is never taken back.
        if (known?.accepted != true) peer.offers[offer.revision] = offer
        while (peer.offers.size > settings.keptRevisions) {
            peer.offers.remove(peer.offers.keys.min())
        }
        return true
    }

    /** Drops what [vm] offered for [revision] after it failed to deliver it. */
    fun withdraw(vm: VmId, revision: Revision) {
        peers[vm]?.offers?.remove(revision)
    }

    fun connected(): Set<VmId> = peers.filterValues { it.connected }.keys

    fun knownIn(): List<DataCentreName> = peers.values.map { it.dataCentre }

    fun storedIn(revision: Revision, digest: Digest): List<DataCentreName> =
        peers.values.filter { it.offers[revision]?.digest == digest }.map { it.dataCentre }

    fun isAcceptedByPeer(revision: Revision, digest: Digest): Boolean = peers.values.any { peer ->
        peer.offers[revision]?.let { it.accepted && it.digest == digest } == true
    }

    fun hasOffered(vm: VmId, offer: ConfigurationOffer): Boolean =
        peers[vm]?.offers?.get(offer.revision) == offer

    /** Returns true the first time that [offer] is to be told to [vm]. */
    fun markTold(vm: VmId, offer: ConfigurationOffer): Boolean {
        val peer = peers[vm]?.takeIf { it.connected } ?: return false
        val news = peer.told.add(offer)
        while (peer.told.size > 2 * settings.keptRevisions) {
            peer.told.remove(peer.told.minBy { it.revision })
        }
        return news
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
                { (vm, _) -> -peers.getValue(vm).pulls },
            ),
        )?.also { (vm, _) -> peers.getValue(vm).pulls++ }
}
