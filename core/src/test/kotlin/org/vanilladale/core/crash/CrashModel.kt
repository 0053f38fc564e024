package org.vanilladale.core.crash

import java.util.PriorityQueue
import kotlin.random.Random
import org.vanilladale.schema.CrashReport
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.RequestKey
import org.vanilladale.schema.RequestKind
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.WorkspaceId

/**
 * Steps by which entries and agents treat suspects. Each step can be left out.
 *
 * @property decides whether entries decide by their crash records how a request runs
 * @property isolates whether suspects run isolated
 * @property clears whether a completed isolated run clears its request
 * @property retransmits whether a lost report is sent again
 * @property settles whether the isolated run of a suspect waits for the settling time
 * @property withdraws whether agents refuse and withdraw suspects that don't run isolated
 */
internal class CrashMechanism(
    val decides: Boolean = true,
    val isolates: Boolean = true,
    val clears: Boolean = true,
    val retransmits: Boolean = true,
    val settles: Boolean = true,
    val withdraws: Boolean = true,
)

/**
 * Simulation of four entries and four targets. Requests with one content crash each target that
 * runs them and are retried by their caller. Other requests, the neighbours, share the targets and
 * are retried after a crash. Reports are delayed, duplicated, reordered and lost, and a lost report
 * is sent again within 100 ms. Every 50 ms one entry sends all its records to the others. An entry
 * knows that a target is down once it has the crash report, because the agent sends the report
 * first.
 *
 * @param repeatAfter milliseconds from a crash to the retry by the caller
 * @param copies number of crashing requests that start at the same time under different keys. With
 * more than one copy each request stays at its entry, as with retries by the entry itself.
 */
internal class CrashModel(
    seed: Int,
    private val mechanism: CrashMechanism,
    private val repeatAfter: Long,
    private val copies: Int = 1,
) {
    private class Event(val at: Long, val order: Long, val run: () -> Unit)

    private class ModelRequest(
        val name: String,
        val isCrashing: Boolean,
        val fingerprints: RequestFingerprints,
        val ownEntry: Int?,
    ) {
        var tries = 0
    }

    private class Attempt(val request: ModelRequest, val entry: Int, val isolated: Boolean)

    private inner class Target(val index: Int) {
        val id = TargetId.parse("model-$index")
        val inFlight = InFlightRequests<Attempt>()
        val suspects = SuspectRegistry(SuspectLimits())
        val attempts = mutableSetOf<Attempt>()
        var restartedAt = 0L
        var crashes = 0L
        val knownDownBy = mutableSetOf<SuspectRegistry>()

        fun isLiveFor(registry: SuspectRegistry): Boolean =
            restartedAt <= now || registry !in knownDownBy
    }

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var now = 0L
    private val time get() = Timestamp.fromEpochMilliseconds(now)
    private val registries = List(4) { SuspectRegistry(SuspectLimits()) }
    private val targets = List(4) { Target(it) }
    private val agentsRefuseSuspects =
        mechanism.decides && mechanism.isolates && mechanism.withdraws
    var crashes = 0
    var crashingRefused = 0
    var isolatedNeighbours = 0
    val neighboursConvicted = mutableSetOf<String>()
    val neighboursCompleted = mutableSetOf<String>()

    private fun schedule(delay: Long, run: () -> Unit) {
        events += Event(now + delay, random.nextLong(), run)
    }

    private fun deliver(registry: SuspectRegistry, report: CrashReport, crashed: Target?) {
        val merge = {
            registry.merge(report, time)
            crashed?.knownDownBy?.add(registry)
        }
        repeat(random.nextInt(0, 3)) { schedule(random.nextLong(1, 20)) { merge() } }
        if (mechanism.retransmits) schedule(100) { merge() }
    }

    private fun deliverToAgent(target: Target, report: CrashReport) {
        repeat(random.nextInt(0, 3)) {
            schedule(random.nextLong(1, 20)) { receive(target, report) }
        }
        if (mechanism.retransmits) schedule(100) { receive(target, report) }
    }

    private fun receive(target: Target, report: CrashReport) {
        val news = target.suspects.merge(report, time) ?: return
        if (!agentsRefuseSuspects) return
        target.inFlight.nonIsolatedSuspectsOf(news).forEach { attempt ->
            target.attempts -= attempt
            target.inFlight.stop(attempt)
            schedule(1) { submit(attempt.request) }
        }
    }

    fun run(): CrashModel {
        val neighbours =
            List(NEIGHBOURS) { newRequest("innocent-$it", isCrashing = false, entry = it) }
        neighbours.forEach { schedule(random.nextLong(0, 400)) { submit(it) } }
        val crashingAt = random.nextLong(0, 200)
        repeat(copies) {
            val request = newRequest("bad", isCrashing = true, entry = it, key = "bad-$it")
            schedule(crashingAt) { submit(request, targetIndex = it) }
        }
        for (at in 50L..DURATION step 50) {
            schedule(at) {
                val from = registries.random(random)
                registries.forEach { registry ->
                    from.reports(time).forEach { registry.merge(it, time) }
                }
            }
        }
        while (true) {
            val event = events.poll()?.takeIf { it.at <= DURATION } ?: break
            now = event.at
            event.run()
        }
        return this
    }

    private fun newRequest(name: String, isCrashing: Boolean, entry: Int, key: String = name) =
        ModelRequest(
            name,
            isCrashing,
            RequestFingerprints.fromRequest(
                WorkspaceId.parse("w"),
                RequestKind.parse("draft"),
                RequestKey.parse(key),
                name.toByteArray(),
            ),
            (entry % registries.size).takeIf { copies > 1 },
        )

    /** @param targetIndex index among the live targets, so that copies start on different ones */
    private fun submit(request: ModelRequest, targetIndex: Int? = null) {
        if (request.tries++ >= 12) return
        val entry = request.ownEntry ?: random.nextInt(registries.size)
        val live = targets.filter { it.isLiveFor(registries[entry]) }
        val decision = if (mechanism.decides) {
            registries[entry].decide(request.fingerprints, live.map { it.id }, time)
        } else {
            SuspectDecision.Run
        }
        when (decision) {
            SuspectDecision.Run -> (targetIndex?.let(live::getOrNull) ?: live.randomOrNull(random))
                ?.let { start(it, Attempt(request, entry, isolated = false)) }
                ?: schedule(20) { submit(request) }
            is SuspectDecision.RunIsolated -> {
                if (mechanism.settles && !decision.settledAt.hasPassed(time)) {
                    request.tries--
                    return schedule(decision.settledAt.millisecondsLeft(time)) { submit(request) }
                }
                val attempt = Attempt(request, entry, mechanism.isolates)
                start(targets.first { it.id == decision.target }, attempt)
            }
            is SuspectDecision.Refuse ->
                if (request.isCrashing) crashingRefused++ else neighboursConvicted += request.name
        }
    }

    private fun start(target: Target, attempt: Attempt) {
        if (target.restartedAt > now) {
            target.inFlight.stop(attempt)
            return schedule(20) { submit(attempt.request) }
        }
        when (target.inFlight.start(attempt, attempt.request.fingerprints, attempt.isolated)) {
            StartDecision.WAIT -> schedule(5) { start(target, attempt) }
            StartDecision.STARTED -> {
                val refusal = target.suspects
                    .startRefusalOrNull(attempt.request.fingerprints, attempt.isolated, time)
                if (agentsRefuseSuspects && refusal != null) {
                    target.inFlight.stop(attempt)
                    return schedule(20) { submit(attempt.request) }
                }
                target.attempts += attempt
                // Copies crash at different times, some after the settling time of a suspect.
                val longest = if (attempt.request.isCrashing && copies > 1) MAX_CRASH_DELAY else 60L
                schedule(random.nextLong(10, longest)) { finish(target, attempt) }
            }
        }
    }

    private fun finish(target: Target, attempt: Attempt) {
        if (attempt !in target.attempts) return
        if (attempt.request.isCrashing) return crash(target)
        target.attempts -= attempt
        target.inFlight.stop(attempt)
        neighboursCompleted += attempt.request.name
        if (attempt.isolated) isolatedNeighbours++
        if (attempt.isolated && mechanism.clears) {
            registries[attempt.entry].clear(attempt.request.fingerprints, time)?.let { report ->
                registries.forEach { deliver(it, report, crashed = null) }
                targets.forEach { deliverToAgent(it, report) }
            }
        }
        // Some requests are sent again with the same content and key, like a repeated lookup.
        if (random.nextInt(100) < 30) schedule(random.nextLong(50, 500)) { submit(attempt.request) }
    }

    private fun crash(target: Target) {
        crashes++
        target.restartedAt = now + 300
        val id = crashIdOf(target.id, Incarnation(target.index.toLong()), ++target.crashes)
        val report = target.inFlight.crash(id, Deadline.fromEpochMilliseconds(now + 60_000))
        val lost = target.attempts.toList()
        target.attempts.clear()
        target.knownDownBy.clear()
        registries.forEach { deliver(it, report, target) }
        target.suspects.merge(report, time)
        targets.forEach { if (it != target) deliverToAgent(it, report) }
        lost.forEach { attempt ->
            // The entry of a lost request detects the crash by the closed connection.
            registries[attempt.entry].merge(report, time)
            target.knownDownBy += registries[attempt.entry]
            schedule(repeatAfter) { submit(attempt.request) }
        }
    }

    companion object {
        const val NEIGHBOURS = 30
        private const val DURATION = 5_000L
        private const val MAX_CRASH_DELAY = 1_000L
    }
}
