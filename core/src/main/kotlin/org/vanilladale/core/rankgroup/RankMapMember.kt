package org.vanilladale.core.rankgroup

import org.vanilladale.schema.ArmedMap
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Frame
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.MapAbort
import org.vanilladale.schema.MapArm
import org.vanilladale.schema.MapArmed
import org.vanilladale.schema.MapConfirm
import org.vanilladale.schema.MapPrepare
import org.vanilladale.schema.MapPrepared
import org.vanilladale.schema.MapQuery
import org.vanilladale.schema.MapState
import org.vanilladale.schema.MapWanted
import org.vanilladale.schema.Rank
import org.vanilladale.schema.RankMapState
import org.vanilladale.schema.Term
import org.vanilladale.schema.Timestamp

/** What the agent of a rank does next. */
public sealed interface MemberAction {
    /** Sends [frame] to the holder of the lease. */
    public data class ToHolder(val frame: Frame) : MemberAction

    /** Sends [frame] to the agent of [rank]. */
    public data class ToRank(val rank: Rank, val frame: Frame) : MemberAction

    /** Passes [order] to the engine through [EngineOrderGate]. */
    public data class Order(val order: EngineOrder) : MemberAction

    /** Sends the holder of [term] its grant with [state]; the engine has raised its fence. */
    public data class Grant(val term: Term, val state: RankMapState) : MemberAction
}

/**
 * Map state of one rank in its agent.
 *
 * The engine stores the active and the held map; this state adds what an engine may not keep: the
 * promised term and the confirmation. A member drops an armed map only on the order of a holder of
 * a higher term, because another rank may have seen all ranks armed before a promise was given.
 *
 * @param askMilliseconds interval between questions to the peers while the engine holds
 * @param sameMap tells whether two armed maps belong to one switch
 * @param maps contents of the maps that the rank knows
 */
public class RankMapMember(
    private val group: GroupId,
    private val rank: Rank,
    private val ranks: Set<Rank>,
    private val askMilliseconds: Long,
    private val sameMap: (ArmedMap, ArmedMap) -> Boolean = { left, right -> left == right },
    private val maps: MapStore = MapStore(),
) {
    private var engine: EngineReadBack? = null
    private var promised: Term = Term(0)
    private var ordered: ArmedMap? = null
    private var fenced: Term? = null
    private var loading: Digest? = null
    private var confirmed = false
    private var prepared: Digest? = null
    private var ordersInFlight = 0
    private var query = 0L
    private var askAt: Deadline = Deadline.fromEpochMilliseconds(0)
    private val peers = mutableMapOf<Rank, RankMapState>()

    /** Frames dropped because term, map or question did not match. */
    public var droppedFrames: Long = 0
        private set

    /** Map state of the rank; null until the engine has been read back. */
    public val state: RankMapState?
        get() = engine?.let { RankMapState(it.activeDigest, it.step, armed, confirmed) }

    private val armed: ArmedMap?
        get() = engine?.held?.let { held ->
            ordered?.takeIf { it.digest == held.digest && it.switchStep == held.switchStep } ?: held
        }

    /**
     * Takes a state read from the engine. After a restart with an engine that ignores fencing
     * numbers the agent calls this only after the longest lease has passed.
     */
    public fun onReadBack(readBack: EngineReadBack, now: Timestamp): List<MemberAction> {
        if (readBack.held == null || readBack.held != engine?.held) confirmed = false
        engine = readBack
        readBack.term?.let { promised = maxOf(promised, it) }
        if (readBack.activated) confirmed = true
        if (readBack.held == null) return emptyList()
        val holding = readBack.step >= readBack.held.switchStep
        val undecided = holding && !confirmed && ordersInFlight == 0
        if (!undecided || !askAt.hasPassed(now)) return emptyList()
        askAt = now.deadlineAfter(askMilliseconds)
        return askPeers()
    }

    /** Promises [term]; the grant is sent after the engine has answered the fence. */
    public fun promise(term: Term): List<MemberAction> {
        if (term < promised) return drop()
        state?.takeIf { fenced == term }?.let { return listOf(MemberAction.Grant(term, it)) }
        promised = term
        loading = null
        peers.clear()
        query++
        return order(EngineOrder.Fence(term))
    }

    /** Takes the engine's answer to [order]. */
    public fun onOrderDone(
        order: EngineOrder,
        readBack: EngineReadBack,
        now: Timestamp,
    ): List<MemberAction> {
        val asked = onReadBack(readBack, now)
        if (order !is EngineOrder.Preload) ordersInFlight--
        return asked + reply(order, readBack)
    }

    private fun reply(order: EngineOrder, readBack: EngineReadBack): List<MemberAction> {
        if (order.term != promised) return emptyList()
        return when (order) {
            is EngineOrder.Fence -> {
                fenced = order.term
                listOf(MemberAction.Grant(order.term, checkNotNull(state)))
            }

            is EngineOrder.Preload -> {
                loading = null
                prepared = order.digest
                listOf(toHolder(MapPrepared(group, rank, readBack.step, order.term, order.digest)))
            }

            is EngineOrder.Hold -> armedReply()

            is EngineOrder.Activate, is EngineOrder.Release -> listOf(stateReply())
        }
    }

    /** Handles a frame of a holder or a peer. */
    public fun onFrame(frame: Frame): List<MemberAction> {
        if (engine == null) return drop()
        return when (frame) {
            is MapPrepare -> ifPromised(frame.term) {
                preload(frame)
            }

            is MapArm -> ifPromised(frame.armed.term) { arm(frame.armed) }

            is MapAbort -> ifPromised(frame.term) { abort(frame.term) }

            is MapConfirm -> ifPromised(frame.term) { confirmFromHolder(frame) }

            is MapQuery -> listOf(
                MemberAction.ToRank(
                    frame.rank,
                    MapState(group, rank, promised, frame.query, state),
                ),
            )

            is MapState -> onPeer(frame)

            else -> drop()
        }
    }

    private fun preload(frame: MapPrepare): List<MemberAction> {
        if (loading == frame.digest) return emptyList()
        val active = engine?.activeDigest ?: return drop()
        val map = maps.preparedOrNull(frame, active)
        if (map == null) {
            if (frame.base == null) return drop()
            return listOf(toHolder(MapWanted(group, rank, frame.term, frame.digest)))
        }
        loading = frame.digest
        return listOf(MemberAction.Order(EngineOrder.Preload(frame.term, frame.digest, map)))
    }

    private fun arm(map: ArmedMap): List<MemberAction> {
        if (armed != null) return armedReply()
        if (prepared != map.digest) return drop()
        ordered = map
        return order(EngineOrder.Hold(map.term, map))
    }

    private fun abort(term: Term): List<MemberAction> {
        val map = armed ?: return listOf(stateReply())
        if (confirmed || map.term >= term) return drop()
        return order(EngineOrder.Release(term, map))
    }

    private fun confirmFromHolder(frame: MapConfirm): List<MemberAction> {
        val map = armed
        if (map == null && engine?.activeDigest == frame.armed.digest) return listOf(stateReply())
        if (map == null) return drop()
        val termUnknown = map.term.value == 0L
        val compared = if (termUnknown) map.copy(term = frame.armed.term) else map
        if (!sameMap(compared, frame.armed)) return drop()
        return confirm(map)
    }

    private fun confirm(map: ArmedMap): List<MemberAction> {
        confirmed = true
        return order(EngineOrder.Activate(promised, map))
    }

    private fun askPeers(): List<MemberAction> {
        peers.clear()
        query++
        val question = MapQuery(group, rank, promised, query)
        return (ranks - rank).map { MemberAction.ToRank(it, question) }
    }

    private fun onPeer(frame: MapState): List<MemberAction> {
        val map = armed
        val peer = frame.state
        if (map == null || peer == null || confirmed) return drop()
        if (frame.query != query) return drop()
        // A promise of a higher term without confirmation rules out confirming the lower one.
        if (map.term != promised || map.term.value == 0L) return drop()
        peers[frame.rank] = peer
        val decided = peerConfirms(map, peer) ||
            peers.keys == ranks - rank && peers.values.all { isArmedFor(it, map) }
        return if (decided) confirm(map) else emptyList()
    }

    private fun isArmedFor(peer: RankMapState, map: ArmedMap): Boolean =
        peer.armed?.let { sameMap(it, map) } == true || peerConfirms(map, peer)

    private fun peerConfirms(map: ArmedMap, peer: RankMapState): Boolean {
        if (peer.confirmed && peer.armed?.let { sameMap(it, map) } == true) return true
        // In lock-step a peer can run the new map only if it switched to it at the switch step.
        val switched = peer.activeDigest == map.digest && peer.step >= map.switchStep
        return switched && engine?.activeDigest != map.digest
    }

    private fun armedReply(): List<MemberAction> {
        val map = armed ?: return listOf(stateReply())
        return listOf(toHolder(MapArmed(group, rank, map)))
    }

    private fun stateReply(): MemberAction =
        toHolder(MapState(group, rank, promised, HOLDER_QUERY, state))

    private fun toHolder(frame: Frame): MemberAction = MemberAction.ToHolder(frame)

    private fun order(order: EngineOrder): List<MemberAction> {
        ordersInFlight++
        return listOf(MemberAction.Order(order))
    }

    private fun ifPromised(term: Term, block: () -> List<MemberAction>): List<MemberAction> =
        if (term == promised && ordersInFlight == 0) block() else drop()

    private fun drop(): List<MemberAction> {
        droppedFrames++
        return emptyList()
    }

    private companion object {
        const val HOLDER_QUERY = 0L
    }
}
