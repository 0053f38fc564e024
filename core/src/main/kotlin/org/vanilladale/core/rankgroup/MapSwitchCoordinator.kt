package org.vanilladale.core.rankgroup

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanilladale.schema.ArmedMap
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Frame
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.LeaseRelease
import org.vanilladale.schema.LeaseReply
import org.vanilladale.schema.LeaseRequest
import org.vanilladale.schema.MapAbort
import org.vanilladale.schema.MapArm
import org.vanilladale.schema.MapArmed
import org.vanilladale.schema.MapConfirm
import org.vanilladale.schema.MapPrepared
import org.vanilladale.schema.MapState
import org.vanilladale.schema.MapWanted
import org.vanilladale.schema.Rank
import org.vanilladale.schema.RankMapState
import org.vanilladale.schema.Step
import org.vanilladale.schema.Term
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/** Frame that a coordinator sends to the agent of [rank]. */
public data class CoordinatorFrame(val rank: Rank, val frame: Frame)

/**
 * Coordinates one map switch, on behalf of one lease holder under one term.
 *
 * On the holder's clock the lease ends [MapSwitchPlan.leaseMilliseconds] after the first request
 * was sent. That is never later than on a rank, which counts from its grant. Each call checks the
 * lease before it returns a frame. The lease is renewed only while weights are loaded. The other
 * phases are short, so if a rank does not answer, the switch ends with the lease.
 *
 * A holder never aborts a map that it has armed itself. The ranks may have confirmed that map among
 * themselves, which only a holder of a higher term can find out.
 */
public class MapSwitchCoordinator(private val plan: MapSwitchPlan, now: Timestamp) {
    private val preloadEnd: Deadline = now.deadlineAfter(plan.preloadMilliseconds)
    private var leaseEnd: Deadline = now.deadlineAfter(plan.leaseMilliseconds)
    private var retryAt: Deadline = now.deadlineAfter(plan.retryMilliseconds)
    private var renewAt: Deadline = now.deadlineAfter(plan.leaseMilliseconds / 2)
    private var renewedEnd: Deadline = leaseEnd
    private val renewingRanks = mutableSetOf<Rank>()
    private var requestNumber = 0L
    private val pendingRanks = plan.ranks.toMutableSet()
    private val states = mutableMapOf<Rank, RankMapState>()
    private var preparedStep = Step(0)
    private var unfinished: ArmedMap? = null
    private var armed: ArmedMap? = null
    private val fullMapFrame = plan.map.toPrepare(plan.group, plan.term, plan.digest)
    private val deltaFrame = plan.base?.let { plan.map.deltaFrom(it, fullMapFrame) } ?: fullMapFrame
    private val ranksWithoutBase = mutableSetOf<Rank>()

    /** Phase that the switch has reached. */
    public var phase: MapSwitchPhase = MapSwitchPhase.COLLECT
        private set

    /** Completed map, or the reason why the switch failed; null while the switch is in progress. */
    public var result: Either<MapSwitchFault, ArmedMap>? = null
        private set

    /** Returns the first frames to send. */
    public fun start(now: Timestamp): List<CoordinatorFrame> =
        whileLeaseHeld(now) { pendingFrames() }

    /**
     * Returns the unanswered frames again when the retry deadline has passed, and lease renewals
     * when they are due. Ends the switch when the lease has ended.
     */
    public fun tick(now: Timestamp): List<CoordinatorFrame> = whileLeaseHeld(now) {
        val renewable = phase == MapSwitchPhase.PREPARE && !preloadEnd.hasPassed(now)
        if (renewable && renewAt.hasPassed(now)) return@whileLeaseHeld renew(now)
        if (!retryAt.hasPassed(now)) return@whileLeaseHeld emptyList()
        retryAt = now.deadlineAfter(plan.retryMilliseconds)
        pendingFrames() + renewingRanks.map { CoordinatorFrame(it, leaseRequest()) }
    }

    private fun renew(now: Timestamp): List<CoordinatorFrame> {
        requestNumber++
        renewAt = now.deadlineAfter(plan.leaseMilliseconds / 2)
        renewedEnd = now.deadlineAfter(plan.leaseMilliseconds)
        renewingRanks += plan.ranks
        return renewingRanks.map { CoordinatorFrame(it, leaseRequest()) }
    }

    private fun leaseRequest() =
        LeaseRequest(plan.group, plan.holder, plan.term, requestNumber, plan.leaseMilliseconds)

    /**
     * Handles the answer of a rank and returns the frames to send next. An answer that belongs to
     * another term or phase is ignored.
     */
    public fun onFrame(frame: Frame, now: Timestamp): List<CoordinatorFrame> = whileLeaseHeld(now) {
        if (frame is MapWanted) return@whileLeaseHeld onMapWanted(frame)
        val answered = when (frame) {
            is LeaseReply -> onLeaseReply(frame)

            is MapPrepared -> onPrepared(frame)

            is MapArmed -> frame.rank.takeIf {
                phase == MapSwitchPhase.ARM &&
                    armed?.let { plan.isSameSwitch(it, frame.armed) } == true
            }

            is MapState -> onState(frame)

            else -> null
        }
        if (phase == MapSwitchPhase.ENDED) return@whileLeaseHeld releaseLeases()
        if (answered == null || !pendingRanks.remove(answered)) return@whileLeaseHeld emptyList()
        if (pendingRanks.isEmpty()) nextPhase(now) else emptyList()
    }

    private fun onLeaseReply(reply: LeaseReply): Rank? {
        // A late reply to an earlier request would extend the lease beyond its end on the rank.
        if (reply.term != plan.term || reply.request != requestNumber) return null
        if (phase != MapSwitchPhase.COLLECT) {
            val renewed =
                reply.granted && renewingRanks.remove(reply.rank) && renewingRanks.isEmpty()
            if (renewed) leaseEnd = renewedEnd
            return null
        }
        if (!reply.granted) {
            if (reply.rank !in pendingRanks) return null
            end(
                MapSwitchFault.LeaseRefused(reply.rank, reply.highestTerm, reply.grantedFrom)
                    .left(),
            )
            return null
        }
        val state = reply.mapState ?: return null
        states[reply.rank] = state
        return reply.rank
    }

    private fun onPrepared(frame: MapPrepared): Rank? {
        if (phase != MapSwitchPhase.PREPARE) return null
        if (frame.term != plan.term || frame.digest != plan.digest) return null
        // The engines run steps while the weights are loaded, possibly more of them than the switch
        // step lies ahead. The switch step is therefore computed from the latest step that a rank
        // reports at the end of loading.
        preparedStep = maxOf(preparedStep, frame.step)
        return frame.rank
    }

    private fun onMapWanted(frame: MapWanted): List<CoordinatorFrame> {
        val matchesPlan = frame.term == plan.term && frame.digest == plan.digest
        val loading = phase == MapSwitchPhase.PREPARE && frame.rank in pendingRanks
        // A repeated request isn't answered with a second copy of the whole map. If the first one
        // is lost, the periodic retry sends it again.
        if (!matchesPlan || !loading || !ranksWithoutBase.add(frame.rank)) return emptyList()
        return listOf(CoordinatorFrame(frame.rank, fullMapFrame))
    }

    private fun onState(frame: MapState): Rank? {
        val state = frame.state
        if (frame.term != plan.term || state == null) return null
        val map = armed
        return when (phase) {
            MapSwitchPhase.RECOVER -> frame.rank.takeIf { state.armed == null || state.confirmed }

            MapSwitchPhase.ARM -> {
                if (map != null && state.armed == null && state.step > map.switchStep) {
                    end(MapSwitchFault.SwitchStepPassed(frame.rank).left())
                }
                null
            }

            MapSwitchPhase.CONFIRM -> frame.rank.takeIf {
                state.activeDigest == map?.digest || state.confirmed
            }

            else -> null
        }
    }

    private fun nextPhase(now: Timestamp): List<CoordinatorFrame> {
        pendingRanks += plan.ranks
        when (phase) {
            MapSwitchPhase.COLLECT -> recover()

            MapSwitchPhase.RECOVER -> prepare()

            MapSwitchPhase.PREPARE -> {
                phase = MapSwitchPhase.ARM
                armed = ArmedMap(plan.term, plan.digest, plan.switchStep(latestStep()))
            }

            MapSwitchPhase.ARM -> phase = MapSwitchPhase.CONFIRM

            else -> {
                end(checkNotNull(armed).right())
                return releaseLeases()
            }
        }
        if (phase == MapSwitchPhase.ENDED) return releaseLeases()
        retryAt = now.deadlineAfter(plan.retryMilliseconds)
        return pendingFrames()
    }

    private fun recover() {
        val armedStates = states.filterValues { it.armed != null }
        // A rank that already runs the map for which it holds was armed by a late command. That
        // hold is aborted.
        unfinished = armedStates.values.filter { it.activeDigest != it.armed?.digest }
            .mapNotNull { it.armed }
            .filter { map -> states.values.any { it.provesUseOf(map) } }
            .maxByOrNull { it.term }
        if (armedStates.isEmpty()) return prepare()
        pendingRanks.retainAll(armedStates.keys)
        phase = MapSwitchPhase.RECOVER
    }

    private fun prepare() {
        phase = MapSwitchPhase.PREPARE
        val finished = unfinished
        if (finished?.digest == plan.digest) return end(finished.right())
        if (states.values.any { it.activeDigest == plan.digest }) {
            end(MapSwitchFault.AlreadyActive(plan.digest).left())
        }
    }

    private fun latestStep(): Step = maxOf(
        preparedStep,
        states.values.mapNotNull { it.armed?.switchStep }.maxOrNull() ?: Step(0),
    )

    private fun pendingFrames(): List<CoordinatorFrame> = pendingRanks.map { rank ->
        CoordinatorFrame(rank, frameFor(rank))
    }

    private fun frameFor(rank: Rank): Frame = when (phase) {
        MapSwitchPhase.COLLECT -> leaseRequest()

        MapSwitchPhase.RECOVER -> {
            val map = unfinished
            val rankMap = states[rank]?.armed
            val confirms = rankMap?.digest == map?.digest && rankMap?.switchStep == map?.switchStep
            if (map != null && confirms) {
                MapConfirm(plan.group, plan.term, map)
            } else {
                MapAbort(plan.group, plan.term)
            }
        }

        MapSwitchPhase.PREPARE ->
            if (rank in ranksWithoutBase) fullMapFrame else deltaFrame

        MapSwitchPhase.ARM -> MapArm(plan.group, checkNotNull(armed))

        MapSwitchPhase.CONFIRM -> MapConfirm(plan.group, plan.term, checkNotNull(armed))

        MapSwitchPhase.ENDED -> LeaseRelease(plan.group, plan.holder, plan.term)
    }

    private fun releaseLeases(): List<CoordinatorFrame> {
        pendingRanks.clear()
        return plan.ranks.map { CoordinatorFrame(it, frameFor(it)) }
    }

    private fun end(outcome: Either<MapSwitchFault, ArmedMap>) {
        result = outcome
        phase = MapSwitchPhase.ENDED
    }

    private fun whileLeaseHeld(
        now: Timestamp,
        block: () -> List<CoordinatorFrame>,
    ): List<CoordinatorFrame> {
        if (phase == MapSwitchPhase.ENDED) return emptyList()
        if (leaseEnd.hasPassed(now)) {
            end(MapSwitchFault.RanksUnreachable(phase, pendingRanks.toSet()).left())
            return emptyList()
        }
        return block()
    }
}

/** Returns true if this state proves that [map] was confirmed or is in use. */
private fun RankMapState.provesUseOf(map: ArmedMap): Boolean {
    val held = armed
    if (held == null) return activeDigest == map.digest
    return confirmed && held.digest == map.digest && held.switchStep == map.switchStep
}
