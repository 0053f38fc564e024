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

/** Action that the agent of a rank has to perform. */
public sealed interface MemberAction {
    /** Sends [frame] to the holder of the lease. */
    public data class ToHolder(val frame: Frame) : MemberAction

    /** Sends [frame] to the agent of [rank]. */
    public data class ToRank(val rank: Rank, val frame: Frame) : MemberAction

    /** Sends [command] to the engine through [EngineCommandGate]. */
    public data class Command(val command: EngineCommand) : MemberAction

    /** Sends the grant with [state] to the holder of [term]. The engine has raised its term. */
    public data class Grant(val term: Term, val state: RankMapState) : MemberAction
}

/**
 * State machine of one rank in a map switch, which runs in the agent of the rank.
 *
 * The engine stores the active map and the held map. This class adds the state that an engine may
 * not keep: the promised term and the confirmation. It drops an armed map only on the command of a
 * holder of a higher term. Before the higher term was promised, another rank may have seen that all
 * ranks were armed and confirmed the map, and only that holder can find this out.
 *
 * @param queryIntervalMilliseconds interval between queries to the other ranks while the engine
 * holds
 * @param isSameSwitch returns whether two armed maps belong to the same switch
 * @param maps contents of the maps that the rank has received
 */
public class RankMapMember(
    private val group: GroupId,
    private val rank: Rank,
    private val ranks: Set<Rank>,
    private val queryIntervalMilliseconds: Long,
    private val isSameSwitch: (ArmedMap, ArmedMap) -> Boolean = { left, right -> left == right },
    private val maps: MapStore = MapStore(),
) {
    private var engine: EngineReadBack? = null
    private var promisedTerm: Term = Term(0)
    private var commandedMap: ArmedMap? = null
    private var fencedTerm: Term? = null
    private var loadingDigest: Digest? = null
    private var confirmed = false
    private var preparedDigest: Digest? = null
    private var commandsInFlight = 0
    private var query = 0L
    private var nextQueryAt: Deadline = Deadline.fromEpochMilliseconds(0)
    private val peerStates = mutableMapOf<Rank, RankMapState>()

    /** Number of frames dropped because their term, map or query did not match. */
    public var droppedFrames: Long = 0
        private set

    /** Map state of the rank; null until the state of the engine has been read. */
    public val state: RankMapState?
        get() = engine?.let { RankMapState(it.activeDigest, it.step, armed, confirmed) }

    private val armed: ArmedMap?
        get() = engine?.held?.let { held ->
            commandedMap?.takeIf { it.digest == held.digest && it.switchStep == held.switchStep }
                ?: held
        }

    /**
     * Updates the member with the state read from the engine. After a restart with an engine that
     * ignores fencing numbers, the agent must not call this before the longest lease has expired.
     */
    public fun onReadBack(readBack: EngineReadBack, now: Timestamp): List<MemberAction> {
        if (readBack.held == null || readBack.held != engine?.held) confirmed = false
        engine = readBack
        readBack.term?.let { promisedTerm = maxOf(promisedTerm, it) }
        if (readBack.activated) confirmed = true
        if (readBack.held == null) return emptyList()
        val holding = readBack.step >= readBack.held.switchStep
        val undecided = holding && !confirmed && commandsInFlight == 0
        if (!undecided || !nextQueryAt.hasPassed(now)) return emptyList()
        nextQueryAt = now.deadlineAfter(queryIntervalMilliseconds)
        return queryPeers()
    }

    /** Promises [term]. The grant is sent after the engine has answered [EngineCommand.Fence]. */
    public fun promise(term: Term): List<MemberAction> {
        if (term < promisedTerm) return drop()
        state?.takeIf { fencedTerm == term }?.let { return listOf(MemberAction.Grant(term, it)) }
        promisedTerm = term
        loadingDigest = null
        peerStates.clear()
        query++
        return sendCommand(EngineCommand.Fence(term))
    }

    /** Handles the engine's answer to [command]. */
    public fun onCommandDone(
        command: EngineCommand,
        readBack: EngineReadBack,
        now: Timestamp,
    ): List<MemberAction> {
        val queries = onReadBack(readBack, now)
        if (command !is EngineCommand.Preload) commandsInFlight--
        return queries + reply(command, readBack)
    }

    private fun reply(command: EngineCommand, readBack: EngineReadBack): List<MemberAction> {
        if (command.term != promisedTerm) return emptyList()
        return when (command) {
            is EngineCommand.Fence -> {
                fencedTerm = command.term
                listOf(MemberAction.Grant(command.term, checkNotNull(state)))
            }

            is EngineCommand.Preload -> {
                loadingDigest = null
                preparedDigest = command.digest
                listOf(
                    toHolder(MapPrepared(group, rank, readBack.step, command.term, command.digest)),
                )
            }

            is EngineCommand.Hold -> armedReply()

            is EngineCommand.Activate, is EngineCommand.Release -> listOf(stateReply())
        }
    }

    /** Handles a frame of a holder or of another rank. */
    public fun onFrame(frame: Frame): List<MemberAction> {
        if (engine == null) return drop()
        return when (frame) {
            is MapPrepare -> ifReadyFor(frame.term) {
                preload(frame)
            }

            is MapArm -> ifReadyFor(frame.armed.term) { arm(frame.armed) }

            is MapAbort -> ifReadyFor(frame.term) { abort(frame.term) }

            is MapConfirm -> ifReadyFor(frame.term) { confirmFromHolder(frame) }

            is MapQuery -> listOf(
                MemberAction.ToRank(
                    frame.rank,
                    MapState(group, rank, promisedTerm, frame.query, state),
                ),
            )

            is MapState -> onPeerState(frame)

            else -> drop()
        }
    }

    private fun preload(frame: MapPrepare): List<MemberAction> {
        if (loadingDigest == frame.digest) return emptyList()
        val active = engine?.activeDigest ?: return drop()
        val map = maps.prepareOrNull(frame, active)
        if (map == null) {
            if (frame.base == null) return drop()
            return listOf(toHolder(MapWanted(group, rank, frame.term, frame.digest)))
        }
        loadingDigest = frame.digest
        return listOf(MemberAction.Command(EngineCommand.Preload(frame.term, frame.digest, map)))
    }

    private fun arm(map: ArmedMap): List<MemberAction> {
        if (armed != null) return armedReply()
        if (preparedDigest != map.digest) return drop()
        commandedMap = map
        return sendCommand(EngineCommand.Hold(map.term, map))
    }

    private fun abort(term: Term): List<MemberAction> {
        val map = armed ?: return listOf(stateReply())
        if (confirmed || map.term >= term) return drop()
        return sendCommand(EngineCommand.Release(term, map))
    }

    private fun confirmFromHolder(frame: MapConfirm): List<MemberAction> {
        val map = armed
        if (map == null && engine?.activeDigest == frame.armed.digest) return listOf(stateReply())
        if (map == null) return drop()
        val termUnknown = map.term.value == 0L
        val compared = if (termUnknown) map.copy(term = frame.armed.term) else map
        if (!isSameSwitch(compared, frame.armed)) return drop()
        return confirm(map)
    }

    private fun confirm(map: ArmedMap): List<MemberAction> {
        confirmed = true
        return sendCommand(EngineCommand.Activate(promisedTerm, map))
    }

    private fun queryPeers(): List<MemberAction> {
        peerStates.clear()
        query++
        val queryFrame = MapQuery(group, rank, promisedTerm, query)
        return (ranks - rank).map { MemberAction.ToRank(it, queryFrame) }
    }

    private fun onPeerState(frame: MapState): List<MemberAction> {
        val map = armed
        val peer = frame.state
        if (map == null || peer == null || confirmed) return drop()
        if (frame.query != query) return drop()
        // After the promise of a higher term, a map of a lower term that isn't confirmed yet must
        // not be confirmed any more.
        if (map.term != promisedTerm || map.term.value == 0L) return drop()
        peerStates[frame.rank] = peer
        val decided = peerConfirms(map, peer) ||
            peerStates.keys == ranks - rank && peerStates.values.all { isArmedFor(it, map) }
        return if (decided) confirm(map) else emptyList()
    }

    private fun isArmedFor(peer: RankMapState, map: ArmedMap): Boolean =
        peer.armed?.let { isSameSwitch(it, map) } == true || peerConfirms(map, peer)

    private fun peerConfirms(map: ArmedMap, peer: RankMapState): Boolean {
        if (peer.confirmed && peer.armed?.let { isSameSwitch(it, map) } == true) return true
        // The ranks run in lockstep, so a peer can run the new map only if it switched to it at the
        // switch step.
        val switched = peer.activeDigest == map.digest && peer.step >= map.switchStep
        return switched && engine?.activeDigest != map.digest
    }

    private fun armedReply(): List<MemberAction> {
        val map = armed ?: return listOf(stateReply())
        return listOf(toHolder(MapArmed(group, rank, map)))
    }

    private fun stateReply(): MemberAction =
        toHolder(MapState(group, rank, promisedTerm, HOLDER_QUERY, state))

    private fun toHolder(frame: Frame): MemberAction = MemberAction.ToHolder(frame)

    private fun sendCommand(command: EngineCommand): List<MemberAction> {
        commandsInFlight++
        return listOf(MemberAction.Command(command))
    }

    private fun ifReadyFor(term: Term, block: () -> List<MemberAction>): List<MemberAction> =
        if (term == promisedTerm && commandsInFlight == 0) block() else drop()

    private fun drop(): List<MemberAction> {
        droppedFrames++
        return emptyList()
    }

    private companion object {
        /** Query number in a [MapState] that is sent to a holder and answers no query of a rank. */
        const val HOLDER_QUERY = 0L
    }
}
