package org.vanilladale.bench.membership

import kotlin.random.Random
import org.vanilladale.core.membership.ConnectionAction
import org.vanilladale.core.membership.ConnectionHeartbeat
import org.vanilladale.core.membership.ConnectionTimes
import org.vanilladale.core.membership.ConnectionWatch
import org.vanilladale.core.membership.HeartbeatAction
import org.vanilladale.core.membership.HeartbeatRule
import org.vanilladale.schema.Timestamp

/** What happens to the agent or to the connection from [from] until [until], in milliseconds. */
internal data class LinkFault(val kind: Kind, val from: Long, val until: Long) {
    enum class Kind {
        /** The VM is gone: nothing is sent, and dials get no answer. */
        VM_DEATH,

        /** The process stands; frames and dials wait in the kernel. */
        PAUSE,

        /** The connection loses all frames; new connections work. */
        SILENT_CONNECTION,
    }

    fun holds(now: Long) = now in from until until
}

/** When the entry of a [LinkModel] decided what; null for never. */
internal class LinkOutcome {
    var abandonedAt: Long? = null
    var suspectedAt: Long? = null
    var reopenedAt: Long? = null
}

/**
 * The connection of one entry to one agent in virtual time, with the decision classes of core.
 *
 * @param requestAt time of a request that the entry sends over the connection; null for none
 */
internal class LinkModel(
    private val entryConnections: Int,
    private val agentConnections: Int,
    private val fault: LinkFault,
    private val requestAt: Long?,
    seed: Int,
) {
    private class Frame(val arrival: Long, val deliver: () -> Unit)

    private val random = Random(seed)
    private val rule = HeartbeatRule(BASE_MILLISECONDS, SLACK_MILLISECONDS)
    private val watch = ConnectionWatch(
        ConnectionTimes(maxBackoffMilliseconds = LONGEST_BACKOFF_MILLISECONDS),
        random,
    )
    private val phases = List(2) { random.nextLong(rule.tickMilliseconds) }
    private val frames = mutableListOf<Frame>()
    private var pulses: List<ConnectionHeartbeat>? = null
    private var openedAt = 0L
    private var dialUntil: Long? = null
    private var nextPollAt = 0L
    private var agentPaused = false
    private var agentLeft = false
    private var now = 0L
    private val outcome = LinkOutcome()

    fun run(end: Long): LinkOutcome {
        watch.start(time())
        dialUntil = HANDSHAKE_MILLISECONDS
        while (now < end) {
            step()
            now += STEP_MILLISECONDS
        }
        return outcome
    }

    private fun step() {
        val pausedBefore = agentPaused
        agentPaused = fault.kind == LinkFault.Kind.PAUSE && fault.holds(now)
        if (pausedBefore && !agentPaused) pulses?.get(AGENT)?.resumed(time())
        frames.filter { it.arrival <= now }.forEach {
            frames.remove(it)
            it.deliver()
        }
        if (now == requestAt) {
            val probes = pulses?.get(ENTRY)?.startProbe(time()) == true
            if (probes) send(AGENT) { send(ENTRY) { it.frameReceived(time()) } }
        }
        if (pulses == null) dialStep() else listOf(ENTRY, AGENT).forEach(::tick)
    }

    private fun tick(side: Int) {
        val stands = side == AGENT && (agentPaused || agentLeft || isDead())
        val pulse = pulses?.get(side) ?: return
        if (stands || (now + phases[side]) % rule.tickMilliseconds >= STEP_MILLISECONDS) return
        val connections = if (side == ENTRY) entryConnections else agentConnections
        when (val action = pulse.tick(connections, time())) {
            is HeartbeatAction.Send -> send(1 - side) {
                it.heartbeatReceived(action.nextMilliseconds, action.leastMilliseconds, time())
            }

            HeartbeatAction.Abandon -> lose(side)

            HeartbeatAction.None -> Unit
        }
    }

    private fun send(side: Int, receive: (ConnectionHeartbeat) -> Unit) {
        val connection = pulses
        val delay = random.nextLong(1, MOST_DELAY_MILLISECONDS)
        if (isDead() || isSilent()) return
        var arrival = now + delay
        // A stopped process reads what has come once it runs again.
        if (side == AGENT && fault.kind == LinkFault.Kind.PAUSE && fault.holds(arrival)) {
            arrival = fault.until
        }
        frames += Frame(arrival) {
            if (pulses === connection && connection != null) receive(connection[side])
        }
    }

    private fun lose(side: Int) {
        if (side == AGENT && isSilent()) {
            // The entry hears nothing of this end.
            agentLeft = true
            return
        }
        if (now >= fault.from && outcome.abandonedAt == null) outcome.abandonedAt = now
        agentLeft = false
        pulses = null
        watch.connectionLost(time())
        dialUntil = now + HANDSHAKE_MILLISECONDS
    }

    private fun dialStep() {
        val deadline = dialUntil
        if (deadline == null) {
            if (now < nextPollAt) return
            nextPollAt = now + POLL_MILLISECONDS
            val dials = watch.tick(time()).any { it is ConnectionAction.Dial }
            if (dials) dialUntil = now + HANDSHAKE_MILLISECONDS
        } else if (!agentPaused && !isDead()) {
            watch.dialSucceeded(time())
            dialUntil = null
            openedAt = now
            if (outcome.abandonedAt != null && outcome.reopenedAt == null) outcome.reopenedAt = now
            pulses = List(2) { ConnectionHeartbeat(rule, false, random, time()) }
        } else if (now >= deadline) {
            dialUntil = null
            val actions = watch.dialFailed(time())
            if (ConnectionAction.SuspectTarget in actions) outcome.suspectedAt = now
        }
    }

    private fun isDead() = fault.kind == LinkFault.Kind.VM_DEATH && fault.holds(now)

    private fun isSilent() =
        fault.kind == LinkFault.Kind.SILENT_CONNECTION && fault.holds(now) && openedAt < fault.from

    private fun time() = Timestamp.fromEpochMilliseconds(now)

    private companion object {
        const val ENTRY = 0
        const val AGENT = 1
        const val STEP_MILLISECONDS = 5L
        const val BASE_MILLISECONDS = 1_000L
        const val SLACK_MILLISECONDS = 2_000L
        const val HANDSHAKE_MILLISECONDS = 2_000L
        const val LONGEST_BACKOFF_MILLISECONDS = 2_000L
        const val POLL_MILLISECONDS = 25L
        const val MOST_DELAY_MILLISECONDS = 10L
    }
}
