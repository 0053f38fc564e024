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

/**
 * Functions that a rank calls under its lock.
 *
 * @property sendCommand queues a command to the engine
 * @property send sends a frame to the agent of a rank
 */
internal class RankPorts(
    val sendCommand: (EngineCommand) -> Unit,
    val send: (rank: Rank, frame: Frame) -> Unit,
)

/**
 * Lease, map member and command gate of one rank, guarded by one lock.
 *
 * Commands are queued under the same lock, so that the engine receives them in the order in which
 * they were decided.
 */
internal class RankState(
    private val membership: GroupMembership,
    longestLeaseMilliseconds: Long,
    private val ports: RankPorts,
    private val clock: () -> Timestamp,
) {
    private val lock = ReentrantLock()
    private val lease =
        RankLease(longestLeaseMilliseconds, clock().deadlineAfter(longestLeaseMilliseconds))
    private val maps = MapStore()
    private val member =
        RankMapMember(
            membership.group,
            membership.rank,
            membership.ranks,
            QUERY_INTERVAL_MILLISECONDS,
            maps = maps,
        )
    private val gate = EngineCommandGate()
    private var holder: Rank? = null
    private var holderRequest = 0L
    private var isTermRestored = false

    /** Number of frames and commands dropped because they were stale. */
    val droppedCount: Long get() = lock.withLock { member.droppedFrames + gate.droppedCommands }

    /** Handles a state read from the engine between two commands. */
    fun onReadBack(readBack: EngineReadBack) {
        lock.withLock {
            restoreTermOnce(readBack)
            if (lease.isRecovered(clock())) perform(member.onReadBack(readBack, clock()))
        }
    }

    /** Restores the highest promised term from an engine that stores it. */
    private fun restoreTermOnce(readBack: EngineReadBack) {
        val term = readBack.term ?: return
        if (isTermRestored || !membership.checksFencing) return
        isTermRestored = true
        lease.restore(term)
        gate.promise(term)
    }

    /** Returns true if [command] may be sent to the engine now. */
    fun admits(command: EngineCommand): Boolean = lock.withLock { gate.admit(command) }

    /** Stores the active map of the engine, so that a prepared change to it can be applied. */
    fun storeMap(activeMap: ActiveEngineMap) {
        lock.withLock { maps.put(activeMap.digest, activeMap.map) }
    }

    /** Handles the end of [command], with the state read from the engine after it. */
    fun onCommandDone(command: EngineCommand, readBack: EngineReadBack) {
        lock.withLock { perform(member.onCommandDone(command, readBack, clock())) }
    }

    /** Handles a frame from the agent of rank [from]. */
    fun onFrame(from: Rank, frame: Frame) {
        lock.withLock {
            when (frame) {
                is LeaseRequest -> onLeaseRequest(from, frame)

                is LeaseRelease -> lease.release(frame)

                else -> perform(member.onFrame(frame))
            }
        }
    }

    private fun onLeaseRequest(from: Rank, frame: LeaseRequest) {
        val now = clock()
        // No promise may be given before the state of the engine has been read.
        val isEngineRead = member.state != null
        val decision = if (isEngineRead) lease.request(frame, now) else null
        if (decision?.granted == true) {
            holder = from
            holderRequest = frame.request
            gate.promise(frame.term)
            perform(member.promise(frame.term))
            return
        }
        val reply = LeaseReply(
            membership.group,
            membership.rank,
            false,
            frame.term,
            frame.request,
            lease.highestTerm,
            decision?.grantedFrom,
        )
        ports.send(from, reply)
    }

    private fun perform(actions: List<MemberAction>) = actions.forEach { action ->
        when (action) {
            is MemberAction.ToHolder -> holder?.let { ports.send(it, action.frame) }

            is MemberAction.ToRank -> ports.send(action.rank, action.frame)

            is MemberAction.Command -> ports.sendCommand(action.command)

            is MemberAction.Grant -> holder?.let {
                val reply = LeaseReply(
                    membership.group,
                    membership.rank,
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
        const val QUERY_INTERVAL_MILLISECONDS = 100L
    }
}
