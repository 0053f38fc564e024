package org.vanilladale.core.configuration

import org.vanilladale.core.configuration.ConfigurationAction.ActivateTables
import org.vanilladale.core.configuration.ConfigurationAction.RaiseAlarm
import org.vanilladale.core.configuration.ConfigurationAction.ReadService
import org.vanilladale.core.configuration.ConfigurationAction.Send
import org.vanilladale.schema.ConfigurationOffer
import org.vanilladale.schema.ConfigurationPull
import org.vanilladale.schema.ConfigurationPush
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Revision
import org.vanilladale.schema.Tables
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/**
 * Decides which revision of the operator tables is active in this process.
 *
 * The active revision never decreases. A stored revision becomes active when
 * [ConfigurationRules.accepts] returns true or when a peer reports it as active.
 *
 * If two different contents of the same revision exist, neither is accepted by the rules. The
 * conflict ends when one of them is already active at a peer, or when operators publish a higher
 * revision.
 *
 * This class is mutable and not thread-safe: a process has one instance and guards it with a lock.
 */
public class ConfigurationState(
    private val settings: ConfigurationStateSettings,
    private val schedule: ServiceReadSchedule,
    startedAt: Timestamp,
    private val rules: ConfigurationRules = ConfigurationRules(),
) {
    private class OutstandingPull(
        val peer: VmId,
        val offer: ConfigurationOffer,
        val deadline: Deadline,
    )

    private val peersDeadline = startedAt.deadlineAfter(settings.peersMilliseconds)
    private val revisions = StoredRevisions(settings.maxStoredRevisions)
    private val peers = PeerOffers(settings)
    private val actions = mutableListOf<ConfigurationAction>()
    private var outstandingPull: OutstandingPull? = null
    private var failures = 0

    /** The active tables, or null if no revision has been activated yet. */
    public val activeTables: JoinedTables? get() = revisions.active?.tables

    /** The digest of the active tables, or null if no revision has been activated yet. */
    public val activeDigest: Digest? get() = revisions.active?.digest

    /** Returns the actions to perform when the process starts. */
    public fun start(now: Timestamp): List<ConfigurationAction> =
        listOf(ReadService(schedule.first(now), null))

    /** Updates the state with [event] and returns the actions to perform, in order. */
    public fun handle(event: ConfigurationEvent, now: Timestamp): List<ConfigurationAction> {
        when (event) {
            is ConfigurationEvent.ServiceEvent -> handleService(event, now)
            is ConfigurationEvent.PeerEvent -> handlePeer(event, now)
            is ConfigurationEvent.Tick -> peers.removeExpired(now)
        }
        activateAccepted(now)
        pullIfNeeded(now)
        return actions.toList().also { actions.clear() }
    }

    /**
     * Returns the active revision as an offer for the next heartbeat to [peer], or null if the peer
     * already knows it.
     *
     * Sending the revision in every heartbeat would take more bytes than all other control frames.
     */
    public fun heartbeatOfferOrNull(peer: VmId): ConfigurationOffer? {
        val offer = revisions.active?.offer(accepted = true) ?: return null
        return offer.takeIf { !peers.hasOffered(peer, offer) && peers.markSent(peer, offer) }
    }

    private fun handleService(event: ConfigurationEvent.ServiceEvent, now: Timestamp) {
        when (event) {
            is ConfigurationEvent.TablesRead -> receiveRead(event.tables, now)
            is ConfigurationEvent.TablesMalformed ->
                raiseAlarm(ConfigurationAlarm.TABLES_FAULTY, event.faults.joinToString("; "))
            is ConfigurationEvent.TablesUnchanged, is ConfigurationEvent.ReadFailed -> Unit
        }
        readNext(failed = event is ConfigurationEvent.ReadFailed, now)
    }

    private fun handlePeer(event: ConfigurationEvent.PeerEvent, now: Timestamp) {
        val peer = event.peer
        when (event) {
            is ConfigurationEvent.PeerConnected -> {
                peers.connect(peer, event.dataCentre)
                rules.offersOnConnect(ownOffers()).forEach { offerOnce(peer, it) }
            }
            is ConfigurationEvent.PeerDisconnected -> {
                peers.disconnect(peer, now)
                if (outstandingPull?.peer == peer) outstandingPull = null
            }
            is ConfigurationEvent.OfferReceived -> {
                receiveOffer(peer, event.offer)
                reply(peer, event.offer)
            }
            // No reply is needed: the next heartbeat to this peer carries the same information.
            is ConfigurationEvent.HeartbeatReceived ->
                receiveOffer(peer, ConfigurationOffer(event.revision, event.digest, true))
            is ConfigurationEvent.PullReceived -> receivePull(peer, event.pull)
            is ConfigurationEvent.PushReceived -> receivePush(peer, event.push, now)
        }
    }

    private fun readNext(failed: Boolean, now: Timestamp) {
        failures = if (failed) failures + 1 else 0
        if (failures == 1) raiseAlarm(ConfigurationAlarm.SERVICE_UNREACHABLE, "a read failed")
        actions += ReadService(schedule.next(now, failures), revisions.highestOrNull()?.revision)
    }

    private fun receiveRead(tables: Tables, now: Timestamp) {
        val current = revisions.active?.revision
        if (tables.revision != current && !rules.mayReplace(current, tables.revision)) {
            raiseAlarm(
                ConfigurationAlarm.SERVICE_STALE,
                "read revision ${tables.revision}, but revision $current is active",
            )
            return
        }
        val digest = digestOf(tables)
        recordDigest(tables.revision, digest)
        if (revisions[tables.revision] == null) store(tables, digest, now)
    }

    private fun receiveOffer(peer: VmId, offer: ConfigurationOffer) {
        if (!peers.recordOffer(peer, offer)) return
        if (offer.revision == revisions.active?.revision || isNewer(offer.revision)) {
            recordDigest(offer.revision, offer.digest)
        }
    }

    /**
     * Replies to [offer] from [peer].
     *
     * A peer with an older revision is offered the active one. A peer that hasn't accepted its
     * revision yet still counts the copies of it, so a copy that is stored here is offered to it.
     */
    private fun reply(peer: VmId, offer: ConfigurationOffer) {
        val current = revisions.active
        val answer = when {
            offer.revision != current?.revision && !isNewer(offer.revision) -> current
            offer.accepted -> null
            else -> revisions[offer.revision]
        }
        answer?.let { offerOnce(peer, it.offer(accepted = it === current)) }
    }

    private fun receivePull(peer: VmId, pull: ConfigurationPull) {
        val stored = revisions[pull.revision]
        if (stored == null) {
            revisions.active?.let { offerOnce(peer, it.offer(accepted = true)) }
            return
        }
        val accepted = stored === revisions.active
        val base = pull.base?.let { revisions[it] }?.takeIf { it.digest == pull.baseDigest }
        send(
            peer,
            if (base == null) {
                TablesDelta.whole(stored.tables.tables, stored.digest, accepted)
            } else {
                TablesDelta.between(
                    base.tables.tables,
                    stored.tables.tables,
                    stored.digest,
                    accepted,
                )
            },
        )
    }

    private fun receivePush(peer: VmId, push: ConfigurationPush, now: Timestamp) {
        val pull = outstandingPull
        if (pull == null || pull.peer != peer || pull.offer.revision != push.revision) {
            raiseAlarm(ConfigurationAlarm.PUSH_UNEXPECTED, "revision ${push.revision} from $peer")
            return
        }
        outstandingPull = null
        val base = push.base?.let { revisions[it]?.tables?.tables }
        TablesDelta.apply(base, push).fold(
            { fault ->
                if (push.base != null) {
                    pull(peer, pull.offer, base = null, now)
                } else {
                    raiseAlarm(
                        ConfigurationAlarm.PUSH_MISMATCH,
                        "revision ${push.revision} from $peer: $fault",
                    )
                    peers.withdraw(peer, push.revision)
                }
            },
            { tables -> receivePushed(peer, tables, push, now) },
        )
    }

    private fun receivePushed(peer: VmId, tables: Tables, push: ConfigurationPush, now: Timestamp) {
        peers.recordOffer(peer, ConfigurationOffer(push.revision, push.digest, push.accepted))
        recordDigest(push.revision, push.digest)
        if (!isNewer(push.revision)) return
        val stored = revisions[push.revision]
        val accepted = peers.isAcceptedByPeer(push.revision, push.digest)
        // Content that is active at a peer replaces different content that is only stored here.
        if (stored == null || (accepted && stored.digest != push.digest)) {
            if (store(tables, push.digest, now)) {
                offerOnce(peer, revisions[push.revision]?.offer(accepted = false) ?: return)
            } else {
                peers.withdraw(peer, push.revision)
            }
        }
    }

    private fun store(tables: Tables, digest: Digest, now: Timestamp): Boolean =
        JoinedTables.fromTables(tables).fold(
            { faults ->
                val detail = faults.joinToString("; ")
                raiseAlarm(ConfigurationAlarm.TABLES_FAULTY, "revision ${tables.revision}: $detail")
                false
            },
            { joined ->
                val settledAt = now.deadlineAfter(settings.settleMilliseconds)
                val stored = StoredRevision(joined, digest, settledAt)
                revisions.store(stored)
                announce(stored.offer(accepted = false))
                true
            },
        )

    private fun recordDigest(revision: Revision, digest: Digest) {
        if (!revisions.recordDigest(revision, digest)) return
        raiseAlarm(
            ConfigurationAlarm.SAME_REVISION_OTHER_CONTENT,
            "revision $revision with digests ${revisions.digestsOf(revision)}",
        )
        if (!isNewer(revision)) return
        // Every peer has to know both contents before it accepts one of them, so the offers go to
        // all peers, regardless of the fan-out limit.
        for (known in revisions.digestsOf(revision)) {
            val offer = ConfigurationOffer(revision, known, accepted = false)
            peers.connected().forEach { offerOnce(it, offer) }
        }
    }

    private fun activateAccepted(now: Timestamp) {
        revisions.all().asReversed().firstOrNull { isNewer(it.revision) && mayActivate(it, now) }
            ?.let { stored ->
                revisions.activate(stored)
                actions += ActivateTables(stored.tables, stored.digest)
                announce(stored.offer(accepted = true))
            }
    }

    private fun mayActivate(stored: StoredRevision, now: Timestamp): Boolean {
        if (peers.isAcceptedByPeer(stored.revision, stored.digest)) return true
        return rules.accepts(
            AcceptanceEvidence(
                ownDataCentre = settings.dataCentre,
                storedBy = settings.storedBy,
                copyDataCentres = peers.dataCentresStoring(stored.revision, stored.digest),
                knownDataCentres = peers.knownDataCentres(),
                peerWaitEnded = peersDeadline.hasPassed(now),
                settled = stored.settledAt.hasPassed(now),
                contested = revisions.isContested(stored.revision),
            ),
        )
    }

    private fun pullIfNeeded(now: Timestamp) {
        if (outstandingPull?.deadline?.hasPassed(now) == false) return
        outstandingPull = null
        val (peer, offer) = peers.choosePullOrNull { offer ->
            val stored = revisions[offer.revision]
            isNewer(offer.revision) &&
                (stored == null || (offer.accepted && stored.digest != offer.digest))
        } ?: return
        pull(peer, offer, revisions.active ?: revisions.highestOrNull(), now)
    }

    private fun pull(
        peer: VmId,
        offer: ConfigurationOffer,
        base: StoredRevision?,
        now: Timestamp,
    ) {
        val deadline = now.deadlineAfter(settings.pullTimeoutMilliseconds)
        outstandingPull = OutstandingPull(peer, offer, deadline)
        send(peer, ConfigurationPull(offer.revision, base?.revision, base?.digest))
    }

    private fun isNewer(revision: Revision): Boolean =
        rules.mayReplace(revisions.active?.revision, revision)

    /**
     * Returns the offers to send to a newly connected peer.
     *
     * They include all known contents of a contested revision, so that the peer doesn't accept any
     * of them either.
     */
    private fun ownOffers(): List<ConfigurationOffer> = listOfNotNull(
        revisions.active?.offer(accepted = true),
    ) + revisions.all().filter { isNewer(it.revision) }.flatMap { stored ->
        val others = revisions.digestsOf(stored.revision) - stored.digest
        listOf(stored.offer(accepted = false)) +
            others.map { ConfigurationOffer(stored.revision, it, accepted = false) }
    }

    private fun announce(offer: ConfigurationOffer) {
        peers.fanOut(offer).forEach { offerOnce(it, offer) }
    }

    private fun offerOnce(peer: VmId, offer: ConfigurationOffer) {
        if (peers.markSent(peer, offer)) send(peer, offer)
    }

    private fun send(peer: VmId, frame: Frame) {
        actions += Send(peer, frame)
    }

    private fun raiseAlarm(kind: ConfigurationAlarm, detail: String) {
        actions += RaiseAlarm(kind, detail)
    }
}
