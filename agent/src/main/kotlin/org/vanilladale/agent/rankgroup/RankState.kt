package org.vanilladale.agent.rankgroup

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import org.vanilladale.core.rankgroup.EngineCommand
import org.vanilladale.core.rankgroup.EngineCommandGate
import org.vanilladale.core.rankgroup.EngineReadBack
import org.vanilladale.core.rankgroup.MapStore
import org.vanilladale.core.rankgroup.MemberAction
import org.vanilladale.core.rankgroup.RankLease
import org.vanilladale.core.rankgroup.RankMapMember
import org.vanilladale.schema.Frame
import org.vanilladale.schema.LeaseRelease
import org.vanilladale.schema.LeaseReply
import org.vanilladale.schema.LeaseRequest
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Timestamp

/** How a rank reaches its engine and the other agents; called under the lock of the rank. */
internal class RankPorts(
    val order: (EngineCommand) -> Unit,
    val send: (rank: Rank, frame: Frame) -> Unit,
)

/**
 * Lease, map member and order gate of one rank under one lock.
 *
 * Orders are queued under the lock too, so that the engine gets them in the order of the decisions.
 */
internal class RankState(
    private val place: GroupPlace,
    longestLeaseMilliseconds: Long,
    private val ports: RankPorts,
    private val clock: () -> Timestamp,
) {
    private val lock = ReentrantLock()
    private val lease =
        RankLease(longestLeaseMilliseconds, clock().deadlineAfter(longestLeaseMilliseconds))
    private val maps = MapStore()
    private val member =
        RankMapMember(place.group, place.rank, place.ranks, ASK_MILLISECONDS, maps = maps)
    private val gate = EngineCommandGate()
    private var holder: Rank? = null
    private var holderRequest = 0L
    private var restored = false

    /** Frames and orders dropped because they were stale. */
    val dropped: Long get() = lock.withLock { member.droppedFrames + gate.droppedCommands }

    /** Takes a state read from the engine between two orders. */
    fun onReadBack(readBack: EngineReadBack) {
        lock.withLock {
            restoreOnce(readBack)
            if (lease.isRecovered(clock())) act(member.onReadBack(readBack, clock()))
        }
    }

    private fun restoreOnce(readBack: EngineReadBack) {
        val term = readBack.term ?: return
        if (restored || !place.checksFencing) return
        restored = true
        lease.restore(term)
        gate.promise(term)
    }

    /** Last check before [order] goes to the engine. */
    fun admits(order: EngineCommand): Boolean = lock.withLock { gate.admit(order) }

    /** Notes the active map of the engine, so that changes to it can be taken. */
    fun learn(content: EngineContent) {
        lock.withLock { maps.put(content.digest, content.map) }
    }

    /** Takes the engine's answer to [order]. */
    fun onOrderDone(order: EngineCommand, readBack: EngineReadBack) {
        lock.withLock { act(member.onCommandDone(order, readBack, clock())) }
    }

    /** Handles a frame of the agent of rank [from]. */
    fun onFrame(from: Rank, frame: Frame) {
        lock.withLock {
            when (frame) {
                is LeaseRequest -> request(from, frame)

                is LeaseRelease -> lease.release(frame)

                else -> act(member.onFrame(frame))
            }
        }
    }

    private fun request(from: Rank, frame: LeaseRequest) {
        val now = clock()
        // Nothing may be promised before the engine has been read back.
        val ready = member.state != null
        val decision = if (ready) lease.request(frame, now) else null
        if (decision?.granted == true) {
            holder = from
            holderRequest = frame.request
            gate.promise(frame.term)
            act(member.promise(frame.term))
            return
        }
        val reply = LeaseReply(
            place.group,
            place.rank,
            false,
            frame.term,
            frame.request,
            lease.highestTerm,
            decision?.grantedFrom,
        )
        ports.send(from, reply)
    }

    private fun act(actions: List<MemberAction>) = actions.forEach { action ->
        when (action) {
            is MemberAction.ToHolder -> holder?.let { ports.send(it, action.frame) }

            is MemberAction.ToRank -> ports.send(action.rank, action.frame)

            is MemberAction.Command -> ports.order(action.command)

            is MemberAction.Grant -> holder?.let {
                val reply = LeaseReply(
                    place.group,
                    place.rank,
                    true,
                    action.term,
                    holderRequest,
                    lease.highestTerm,
                    mapState = action.state,
                )
                ports.send(it, reply)
            }
        }
    }

    private companion object {
        const val ASK_MILLISECONDS = 100L
    }
}
