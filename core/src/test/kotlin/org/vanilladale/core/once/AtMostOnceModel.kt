package org.vanilladale.core.once

import java.util.PriorityQueue
import kotlin.random.Random
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Binding
import org.vanilladale.schema.CancelState
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.RequestKey
import org.vanilladale.schema.RunState
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.WorkspaceId

/** Faults of a schedule. Each number is the probability of the fault, in percent. */
internal data class Faults(
    val name: String,
    val lost: Int = 0,
    val late: Int = 0,
    val duplicate: Int = 0,
    val responseLost: Int = 0,
    val pause: Int = 0,
    val restart: Int = 0,
    val listChange: Int = 0,
    val clockStep: Int = 0,
    val targetDown: Boolean = false,
    val twoBindings: Boolean = false,
)

/**
 * Simulates callers, entries and three agents under a schedule with a seed. An agent has its own
 * clock, loses all state in a restart, and processes the events of a pause after its end.
 */
internal class AtMostOnceModel(
    seed: Int,
    private val faults: Faults,
    private val rebind: Boolean = false,
    private val newLedger: (Incarnation) -> LedgerVariant,
) {
    private class Event(val at: Long, val order: Long, val run: () -> Unit)

    private inner class Agent(val index: Int) {
        val target = TargetId.parse("orders-$index")
        var clock = random.nextLong(-200, 200)
        var incarnation = Incarnation(random.nextLong())
        var ledger = newLedger(incarnation)
        val waiters = mutableMapOf<BoundKey, MutableList<(SubmitDecision<String>) -> Unit>>()
        var pausedUntil = 0L
        var up = true
        val local: Timestamp get() = Timestamp.fromEpochMilliseconds(BASE + now + clock)

        fun restart() {
            incarnation = Incarnation(random.nextLong())
            ledger = newLedger(incarnation)
            waiters.clear()
        }

        /** Runs [block] after [delay] and after any pause, unless the agent has restarted. */
        fun later(delay: Long, of: Incarnation = incarnation, block: () -> Unit) {
            schedule(delay) {
                when {
                    !up || of != incarnation -> Unit
                    now < pausedUntil -> later(pausedUntil - now, of, block)
                    else -> block()
                }
            }
        }
    }

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var now = 0L
    private val agents = List(3) { Agent(it) }
    private var executionCount = 0
    val history = AtMostOnceHistory()

    private fun chance(percent: Int) = random.nextInt(100) < percent

    private fun schedule(delay: Long, run: () -> Unit) {
        events += Event(now + delay, random.nextLong(), run)
    }

    /** Sends one frame between an entry and an agent, in either direction. */
    private fun send(deliver: () -> Unit) {
        repeat(if (chance(faults.duplicate)) 2 else 1) {
            val delay = if (chance(faults.late)) {
                random.nextLong(100, 4_000)
            } else {
                random.nextLong(1, 10)
            }
            if (!chance(faults.lost)) schedule(delay, deliver)
        }
    }

    fun run(): AtMostOnceHistory {
        repeat(REQUESTS) { index ->
            val key = BoundKey(WorkspaceId.parse("w${index % 2}"), RequestKey.parse("r$index"))
            schedule(random.nextLong(0, 3_000)) { call(key) }
        }
        agents.forEach { agent ->
            for (at in 250L..DURATION step 250) {
                schedule(at + random.nextLong(100)) { agent.ledger.forgetExpired(agent.local) }
                schedule(at) { if (chance(faults.restart)) agent.restart() }
                if (faults.clockStep > 0) {
                    schedule(at) {
                        if (chance(faults.clockStep)) agent.clock = random.nextLong(-3_000, 3_000)
                    }
                }
                schedule(at) {
                    if (chance(faults.pause)) agent.pausedUntil = now + random.nextLong(100, 1_500)
                }
            }
        }
        if (faults.targetDown) schedule(1_500) { agents[0].up = false }
        while (true) {
            val event = events.poll() ?: break
            now = event.at
            event.run()
        }
        return history
    }

    /** Returns the live targets as an entry sees them. A lost target is detected after 300 ms. */
    private fun live(): List<LiveTarget> = agents
        .filter { it.up || now < 1_800 }
        .filterNot { chance(faults.listChange) }
        .map { LiveTarget(it.target, it.incarnation) }

    private fun bind(key: BoundKey, expiry: Deadline): Binding? =
        BindingTargetChoice.bind(POOL, key, live(), random.nextLong(), expiry)

    /**
     * Simulates a caller that sends its request four times through any entry and then gives up. The
     * first time, and sometimes later, it sends two copies at once. Some callers also cancel.
     */
    private fun call(key: BoundKey) {
        val request = key.key.text
        val expiry = Deadline.fromEpochMilliseconds(BASE + now + 3_000)
        val deadline = Deadline.fromEpochMilliseconds(BASE + now + random.nextLong(200, 2_000))
        val binding = bind(key, expiry) ?: return
        history.invoke(request)
        repeat(4) { number ->
            repeat(if (number == 0 || chance(30)) 2 else 1) { copy ->
                schedule(number * random.nextLong(50, 700)) {
                    val another = rebind || faults.twoBindings && copy == 1
                    submit(key, if (another) bind(key, expiry) ?: binding else binding, deadline)
                }
            }
        }
        if (chance(40)) schedule(random.nextLong(0, 1_000)) { cancel(key, binding) }
    }

    private fun agentOf(binding: Binding) = agents.first { it.target == binding.target }

    private fun submit(key: BoundKey, binding: Binding, deadline: Deadline) {
        val agent = agentOf(binding)
        val reply = { decision: SubmitDecision<String> -> send { recordReply(key, decision) } }
        send { receive(agent) { receiveSubmit(agent, key, binding, deadline, reply) } }
    }

    private fun receive(agent: Agent, block: () -> Unit) = when {
        !agent.up -> Unit
        now < agent.pausedUntil -> agent.later(agent.pausedUntil - now, block = block)
        else -> block()
    }

    private fun receiveSubmit(
        agent: Agent,
        key: BoundKey,
        binding: Binding,
        deadline: Deadline,
        reply: (SubmitDecision<String>) -> Unit,
    ) {
        when (val decision = agent.ledger.submit(binding, key, deadline, agent.local)) {
            SubmitDecision.Run -> {
                agent.waiters.getOrPut(key) { mutableListOf() } += reply
                agent.later(random.nextLong(0, 300)) { dispatch(agent, key, binding, deadline) }
            }
            SubmitDecision.Attach -> agent.waiters.getOrPut(key) { mutableListOf() } += reply
            else -> reply(decision)
        }
    }

    private fun dispatch(agent: Agent, key: BoundKey, binding: Binding, deadline: Deadline) {
        val refusal = agent.ledger.mayDispatch(binding, key, agent.local).leftOrNull()
        if (refusal != null) return answer(agent, key, SubmitDecision.Refuse(refusal))
        val execution = "${key.key}/${executionCount++}"
        history.execute(key.key.text, execution, deadline.hasPassed(agent.local))
        val lost = chance(faults.responseLost)
        agent.later(random.nextLong(1, 200)) {
            if (lost) {
                agent.ledger.markUnknown(binding, key)
                answer(agent, key, SubmitDecision.Refuse(Refusal(RefusalReason.OUTCOME_UNKNOWN)))
            } else {
                agent.ledger.complete(binding, key, execution)
                answer(agent, key, SubmitDecision.Replay(execution))
            }
        }
    }

    private fun answer(agent: Agent, key: BoundKey, decision: SubmitDecision<String>) {
        agent.waiters.remove(key)?.forEach { it(decision) }
    }

    private fun cancel(key: BoundKey, binding: Binding) {
        val agent = agentOf(binding)
        send {
            receive(agent) {
                val state = agent.ledger.cancel(binding, key, agent.local)
                if (state == CancelState.CANCELLED) {
                    send { history.refused(key.key.text, RunState.NO) }
                }
            }
        }
    }

    private fun recordReply(key: BoundKey, decision: SubmitDecision<String>) = when (decision) {
        is SubmitDecision.Replay -> history.outcome(key.key.text, decision.outcome)
        is SubmitDecision.Refuse -> history.refused(key.key.text, decision.refusal.run)
        else -> Unit
    }

    private companion object {
        const val REQUESTS = 12
        const val DURATION = 8_000L
        const val BASE = 1_000_000L
        val POOL = PoolName.parse("orders")
    }
}
