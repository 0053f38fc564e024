package org.vanilladale.core.rankgroup

import java.util.PriorityQueue
import kotlin.random.Random
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Frame
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.LeaseRelease
import org.vanilladale.schema.LeaseReply
import org.vanilladale.schema.LeaseRequest
import org.vanilladale.schema.MapState
import org.vanilladale.schema.MapWanted
import org.vanilladale.schema.Rank
import org.vanilladale.schema.RankMapState
import org.vanilladale.schema.Step
import org.vanilladale.schema.Term
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/**
 * Simulates a rank group with its coordinators, network and engines in virtual milliseconds. Runs
 * with the same seed are identical.
 */
internal class RankGroupSimulation(private val setup: SimulationSetup) {
    private class Event(val at: Long, val order: Long, val run: () -> Unit)

    private val random = Random(setup.seed)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var eventCount = 0L
    private var now = 0L
    private val group = GroupId.parse("group")
    private val ranks = List(setup.rankCount) { Rank(it) }.toSet()
    private val initial = Digest.parse("v0-initial")
    private val maps = SimulatedMaps(setup, ranks)
    private val engines =
        List(setup.rankCount) { SimulatedEngine(setup.keepsFencing, initial, maps.initial) }

    private val grants = mutableMapOf<Int, Pair<Term, Long>>()
    private var partition: Set<Int> = emptySet()

    /**
     * Time of each executed step, and the digest and content of the map that each rank ran in it.
     */
    val history = mutableListOf<Pair<Long, List<MapBase>>>()
    var fullMapsRequested = 0L
    var heldTicks = 0L
    var framesAfterLease = 0L
    val completedAt = mutableListOf<Long>()
    var frames = 0L
    var bytes = 0L

    private val faulty get() = now < setup.faultsUntil
    private val timestamp get() = Timestamp.fromEpochMilliseconds(now)
    private val agents = List(setup.rankCount) { Agent(it) }
    private val coordinators = List(setup.coordinatorCount) { Coordinator(setup.rankCount + it) }

    val brokenSteps: Int get() = history.count { (_, maps) -> maps.distinct().size > 1 }

    /**
     * True if a step and a new switch both completed within [milliseconds] after the last fault.
     */
    fun recoveredWithin(milliseconds: Long): Boolean {
        val window = setup.faultsUntil..setup.faultsUntil + milliseconds
        return completedAt.any { it in window } && history.any { it.first in window }
    }

    /** Runs until the first switch has completed and its last frames have been delivered. */
    fun runFirstSwitch(): RankGroupSimulation {
        at(1) { tick() }
        while (completedAt.isEmpty()) step()
        val end = now + 20
        while (events.peek().at <= end) step()
        return this
    }

    private fun step() {
        val event = events.poll()
        now = event.at
        event.run()
    }

    fun run(until: Long): RankGroupSimulation {
        scheduleFaults()
        setup.lateHold?.let { late ->
            at(late.at) {
                if (late.overwrites || engines[0].held == null) {
                    engines[0].apply(EngineCommand.Hold(late.map.term, late.map))
                }
            }
        }
        at(1) { tick() }
        while (events.isNotEmpty() && events.peek().at <= until) step()
        return this
    }

    private fun tick() {
        engines.forEach { it.tryEnter(now) }
        if (engines.any { it.isHolding }) heldTicks++
        if (engines.all { it.entered }) {
            history += now to engines.map { MapBase(it.active, it.activeMap) }
            engines.forEach { it.completeStep() }
        }
        agents.forEach { it.tick() }
        coordinators.forEach { it.tick() }
        at(10) { tick() }
    }

    private fun at(delay: Long, run: () -> Unit) {
        events += Event(now + delay, eventCount++, run)
    }

    private fun chance(percent: Int) = faulty && random.nextInt(100) < percent

    private fun scheduleFaults() {
        if (setup.faultsUntil == 0L) return
        repeat(4) { at(randomFaultTime()) { agents.random(random).crash() } }
        repeat(3) {
            at(randomFaultTime()) {
                engines.random(random).stalledUntil = now + random.nextLong(50, 900)
            }
        }
        repeat(2) { at(randomFaultTime()) { coordinators.random(random).pause() } }
        if (random.nextInt(4) == 0) at(randomFaultTime()) { agents.forEach { it.crash() } }
        at(randomFaultTime()) {
            partition =
                (0 until setup.rankCount + setup.coordinatorCount).filter {
                    random.nextBoolean()
                }.toSet()
            at(random.nextLong(200, 2_500)) { partition = emptySet() }
        }
    }

    private fun randomFaultTime() = random.nextLong(setup.faultsUntil)

    private fun send(from: Int, to: Int, frame: Frame) {
        frames++
        if (frame is MapWanted) fullMapsRequested++
        if (setup.measureBytes) bytes += bytesOnWire(frame)
        val copies = if (chance(6)) {
            0
        } else if (chance(6)) {
            2
        } else {
            1
        }
        repeat(copies) {
            val delay = if (chance(6)) random.nextLong(50, 1_400) else random.nextLong(1, 4)
            at(delay) {
                val cut = partition.isNotEmpty() && (from in partition) != (to in partition)
                if (!cut) receive(from, to, frame)
            }
        }
    }

    private fun receive(from: Int, to: Int, frame: Frame) {
        if (to < setup.rankCount) {
            agents[to].receive(from, frame)
        } else {
            coordinators[to - setup.rankCount].receive(frame)
        }
    }

    private inner class Agent(val index: Int) {
        private val engine get() = engines[index]
        private var incarnation = 0
        private var alive = true
        private var recovered = true
        private var restarted = false
        private var holder: Int? = null
        private var lastCommandAt = 0L
        private var lastRequest = 0L
        private var gate = EngineCommandGate()
        private var lease = RankLease(LEASE_MILLISECONDS, Deadline.fromEpochMilliseconds(0))
        private var store = setup.omitted.mapStore()
        private var member = newMember()

        init {
            member.onReadBack(readBack(), timestamp)
        }

        private fun newMember() =
            RankMapMember(group, Rank(index), ranks, 50, setup.omitted::isSameSwitch, store)

        private fun readBack(): EngineReadBack {
            store.put(engine.active, engine.activeMap)
            return engine.readBack()
        }

        fun crash() {
            if (!alive) return
            alive = false
            incarnation++
            at(random.nextLong(10, 300)) { restart() }
        }

        private fun restart() {
            alive = true
            restarted = true
            holder = null
            recovered = false
            lastCommandAt = now
            gate = EngineCommandGate()
            val wait =
                if (setup.omitted == OmittedRule.WAIT_AFTER_RESTART) 0 else LEASE_MILLISECONDS
            lease = RankLease(LEASE_MILLISECONDS, timestamp.deadlineAfter(wait))
            store = setup.omitted.mapStore()
            member = newMember()
            engine.readBack().term?.let {
                lease.restore(it)
                gate.promise(it)
            }
        }

        fun tick() {
            if (!alive) return
            recovered = recovered || lease.isRecovered(timestamp)
            if (recovered) perform(member.onReadBack(readBack(), timestamp))
        }

        fun receive(from: Int, frame: Frame) {
            if (!alive) return
            when (frame) {
                is LeaseRequest -> request(from, frame)
                is LeaseRelease -> lease.release(frame)
                else -> {
                    if (from >= setup.rankCount) holder = from
                    if (setup.omitted == OmittedRule.ABORT_BY_HOLDER_ONLY) abortAlone(frame)
                    perform(member.onFrame(frame))
                }
            }
        }

        private fun abortAlone(frame: Frame) {
            val map = member.state?.armed
            if (frame !is MapState || frame.query == 0L || map == null) return
            val unconfirmed = frame.state?.let { it.armed == map && !it.confirmed } == true
            if (!unconfirmed || member.state?.confirmed == true || frame.term <= map.term) return
            at(1) { engine.apply(EngineCommand.Release(frame.term, map)) }
        }

        private fun request(from: Int, frame: LeaseRequest) {
            val decision = lease.request(frame, timestamp)
            if (decision.granted && recovered) {
                holder = from
                val length = minOf(frame.leaseMilliseconds, LEASE_MILLISECONDS)
                grants[index] = frame.term to now + length
                lastRequest = frame.request
                gate.promise(frame.term)
                perform(member.promise(frame.term))
            } else {
                val reply = LeaseReply(
                    group,
                    Rank(index),
                    false,
                    frame.term,
                    frame.request,
                    decision.highestTerm,
                    decision.grantedFrom,
                )
                send(index, from, reply)
            }
        }

        private fun perform(actions: List<MemberAction>): Unit = actions.forEach { action ->
            when (action) {
                is MemberAction.ToHolder -> holder?.let { send(index, it, action.frame) }

                is MemberAction.ToRank -> send(index, action.rank.value, mutated(action.frame))

                is MemberAction.Command -> sendCommand(action.command)

                is MemberAction.Grant -> holder?.let {
                    val state = mutated(action.state)
                    val reply = LeaseReply(
                        group,
                        Rank(index),
                        true,
                        action.term,
                        lastRequest,
                        lease.highestTerm,
                        mapState = state,
                    )
                    send(index, it, reply)
                }
            }
        }

        private fun mutated(state: RankMapState): RankMapState =
            if (restarted && setup.omitted == OmittedRule.READ_BACK_AFTER_RESTART) {
                RankMapState(initial, Step(0))
            } else {
                state
            }

        private fun mutated(frame: Frame): Frame =
            if (frame is MapState) frame.copy(state = frame.state?.let { mutated(it) }) else frame

        private fun sendCommand(command: EngineCommand) {
            val sender = incarnation
            val arrival = now + random.nextLong(1, if (faulty) 60 else 3)
            if (command !is EngineCommand.Preload) lastCommandAt = maxOf(lastCommandAt, arrival)
            val loaded = arrival + setup.preloadMilliseconds
            at((if (command is EngineCommand.Preload) loaded else lastCommandAt) - now) {
                if (sender == incarnation) {
                    if (gate.admit(command)) engine.apply(command)
                    if (command !is EngineCommand.Fence) restarted = false
                    perform(member.onCommandDone(command, readBack(), timestamp))
                } else if (random.nextInt(10) < 9) {
                    at(random.nextLong(1, setup.maxLateCommandMilliseconds)) {
                        engine.apply(command)
                    }
                }
            }
        }
    }

    private inner class Coordinator(val index: Int) {
        private val inbox = mutableListOf<Frame>()
        private var running: MapSwitchCoordinator? = null
        private var startedAt = 0L
        private var startAt = random.nextLong(1, 400)
        private var pausedUntil = 0L
        private var term = 0L
        private var count = 0

        fun pause() {
            pausedUntil = now + random.nextLong(500, 4_000)
        }

        fun receive(frame: Frame) {
            if (now < pausedUntil) inbox += frame else handle(frame)
        }

        private fun handle(frame: Frame) {
            if (frame is LeaseReply) term = maxOf(term, frame.highestTerm.value)
            running?.let { sendAll(it, it.onFrame(frame, timestamp)) }
        }

        fun tick() {
            if (now < pausedUntil) return
            inbox.toList().also { inbox.clear() }.forEach { handle(it) }
            val current = running
            when {
                current == null -> if (now >= startAt) begin()
                now - startedAt > 3 * LEASE_MILLISECONDS -> finish()
                else -> sendAll(current, current.tick(timestamp))
            }
        }

        private fun begin() {
            val next = engines.maxOf { version(it.active) } + 1
            val recheck = setup.omitted != OmittedRule.LEASE_RECHECK
            val newTerm = Term(++term)
            val plan = MapSwitchPlan.plan(group, VmId.parse("c$index"), newTerm) {
                val base = MapBase(engines[0].active, engines[0].activeMap)
                val map = maps.moved(base.map)
                placement = MapSwitchPlan.Placement(ranks, map, base)
                digest = maps.digest("v$next-c$index-${count++}-", map, newTerm)
                // Ranks cap the lease. A coordinator that counts on a longer one behaves like a
                // holder that never rechecks its lease.
                leaseMilliseconds = if (recheck) LEASE_MILLISECONDS else 3 * LEASE_MILLISECONDS
                isSameSwitch = setup.omitted::isSameSwitch
            }
            val created = MapSwitchCoordinator(plan, timestamp)
            running = created
            startedAt = now
            sendAll(created, created.start(timestamp))
        }

        private fun sendAll(current: MapSwitchCoordinator, batch: List<CoordinatorFrame>) {
            if (current !== running) return
            // Most rules matter only if a confirmation reaches some of the ranks but not all, so
            // failures are more frequent in this phase.
            val confirming = current.phase == MapSwitchPhase.CONFIRM
            val fails = batch.isNotEmpty() && chance(if (confirming) 40 else 5)
            val sent = if (fails) batch.shuffled(random).take(random.nextInt(batch.size)) else batch
            sent.forEach { send(index, it.rank.value, it.frame) }
            framesAfterLease += sent.count { isAfterLease(it) }
            if (fails) crashWithCoordinator(sent.map { it.rank.value })
            if (sent.isNotEmpty() && chance(8)) {
                val victim = agents[sent.random(random).rank.value]
                at(random.nextLong(1, 80)) { victim.crash() }
            }
            if (batch.isNotEmpty() && chance(3)) pause()
            if (current.result?.isRight() == true) completedAt += now
            if (fails || current.result != null) finish()
        }

        private fun isAfterLease(sent: CoordinatorFrame): Boolean {
            if (sent.frame is LeaseRequest || sent.frame is LeaseRelease) return false
            val (granted, expiry) = grants[sent.rank.value] ?: return false
            return granted.value == term && now >= expiry
        }

        /**
         * Crashes no agent, all agents, or those of the [reached] ranks, to which the coordinator
         * sent before it failed.
         */
        private fun crashWithCoordinator(reached: List<Int>) {
            val victims = when (random.nextInt(5)) {
                0 -> emptyList()
                1, 2 -> agents
                else -> reached.map { agents[it] }
            }
            victims.forEach { at(random.nextLong(4, 40)) { it.crash() } }
        }

        private fun finish() {
            running = null
            startAt = now + random.nextLong(50, 700)
        }
    }
}
