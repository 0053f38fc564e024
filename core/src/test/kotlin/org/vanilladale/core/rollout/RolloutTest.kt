package org.vanilladale.core.rollout

import org.junit.jupiter.api.Test
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RolloutPhase.DONE
import org.vanilladale.schema.RolloutPhase.LOADING
import org.vanilladale.schema.RolloutPhase.UNREACHABLE
import org.vanilladale.schema.RolloutPhase.WAITING
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards against loads out of turn, after a lost turn, or for an outdated plan. */
class RolloutTest {
    private val second = plan("v2", 2)

    @Test
    fun `a target loads only after all earlier targets in the order are done`() {
        val agent = TestAgent(second, position = 2)
        agent.receive(second) { if (it == 0) DONE else WAITING }
        agent.tick()
        expectThat(agent.sent).isEmpty()
        agent.receive(second) { if (it < 2) DONE else WAITING }
        agent.tick()
        expectThat(agent.state.serving).isFalse()
        agent.tick(inFlight = 1)
        expectThat(agent.sent).isEmpty()
        agent.tick(inFlight = 0)
        expectThat(agent.sent).hasSize(1)
        expectThat(agent.sent.single().fence).isEqualTo(second.revision)
    }

    @Test
    fun `a target that may not know the plan blocks even earlier targets in the order`() {
        val agent = TestAgent(second, position = 0)
        agent.receive(plan("v1", 1)) { WAITING }
        agent.tick()
        expectThat(agent.state.phase).isEqualTo(WAITING)
        agent.receive(second) { WAITING }
        agent.tick()
        expectThat(agent.state.phase).isEqualTo(LOADING)
    }

    @Test
    fun `unreachable and silent targets do not block others after the silence time`() {
        val agent = TestAgent(second, position = 3)
        repeat(3) {
            agent.receive(second) { position -> listOf(DONE, UNREACHABLE).getOrNull(position) }
            agent.tick()
        }
        expectThat(agent.state.phase).isEqualTo(WAITING)
        repeat(7) { agent.tick() }
        expectThat(agent.state.phase).isEqualTo(LOADING)
    }

    /**
     * Targets send no reports between rollouts. Guards against a target that counts this time as
     * silence and loads before the others could report the new plan.
     */
    @Test
    fun `other targets get time to report a new plan after a long time without a rollout`() {
        val agent = TestAgent(plan("v1", 1), position = 2)
        repeat(60) { agent.tick() }
        agent.accept(second)
        repeat(15) { agent.tick() }
        expectThat(agent.state.phase).isEqualTo(WAITING)
    }

    @Test
    fun `a target without a version loads before serving ones but waits for running loads`() {
        val agent = TestAgent(second, position = 3)
        agent.readEngine(null)
        repeat(8) {
            agent.receive(second) { position -> if (position == 1) LOADING else WAITING }
            agent.tick()
        }
        expectThat(agent.sent).isEmpty()
        agent.receive(second) { WAITING }
        agent.tick()
        expectThat(agent.sent).hasSize(1)
    }

    @Test
    fun `a serving target waits for a later target without a version`() {
        val agent = TestAgent(second, position = 0)
        agent.receive(second, serving = false) { WAITING }
        agent.tick()
        expectThat(agent.state.phase).isEqualTo(WAITING)
    }

    @Test
    fun `a paused target loses its turn and discards received reports`() {
        val agent = TestAgent(second, position = 0)
        agent.receive(second) { WAITING }
        agent.tick(inFlight = 1)
        agent.tick(inFlight = 1)
        expectThat(agent.state.stage is LoadStage.Draining).isTrue()
        agent.now += 60_000
        agent.tick()
        agent.tick()
        expectThat(agent.sent).isEmpty()
        expectThat(agent.state.progressByTarget.keys).isEmpty()
        expectThat(agent.state.serving).isTrue()
    }

    @Test
    fun `a command is refused after its lease or for a different plan`() {
        val agent = TestAgent(second, position = 0)
        agent.receive(second) { WAITING }
        repeat(2) { agent.tick() }
        val command = agent.sent.single()
        fun refusal(activePlan: RolloutPlan) =
            agent.state.refusalOrNull(command, activePlan, agent.time())
        expectThat(refusal(second)).isNull()
        expectThat(refusal(second.copy(revision = plan("v3", 9).revision))).isNull()
        expectThat(refusal(plan("v3", 3))).isEqualTo(LoadRefusal.REVISION_CHANGED)
        agent.now += 2_000
        expectThat(refusal(second)).isEqualTo(LoadRefusal.LEASE_PASSED)
    }

    @Test
    fun `a revision during a load takes effect after the load and in turn`() {
        val agent = TestAgent(second, position = 0)
        agent.receive(second) { WAITING }
        repeat(2) { agent.tick() }
        val third = plan("v3", 3)
        agent.accept(third)
        agent.endCommand(LoadResult.Completed, "v2")
        expectThat(agent.state.phase).isEqualTo(WAITING)
        agent.tick()
        expectThat(agent.sent).hasSize(1)
        agent.receive(third) { DONE }
        repeat(2) { agent.tick() }
        expectThat(agent.sent.last().version).isEqualTo(version("v3"))
    }

    @Test
    fun `a target waits while others know a newer plan and ignores older tables`() {
        val agent = TestAgent(second, position = 0)
        agent.receive(second) { WAITING }
        agent.now += 100
        agent.receive(plan("v3", 3)) { WAITING }
        agent.tick()
        expectThat(agent.state.phase).isEqualTo(WAITING)
        agent.accept(plan("v1", 1))
        expectThat(agent.state.plan).isEqualTo(second)
    }

    @Test
    fun `a rollback needs no load if the engine still has the version`() {
        val agent = TestAgent(second, position = 0)
        agent.accept(plan("v1", 3))
        expectThat(agent.state.phase).isEqualTo(DONE)
    }

    @Test
    fun `the backoff grows with each failed load and the failure is kept`() {
        val agent = TestAgent(second, position = 0)
        val pauses = List(6) {
            while (agent.state.stage !is LoadStage.Running) {
                agent.receive(second) { WAITING }
                agent.tick()
            }
            agent.endCommand(LoadResult.Failed(LoadFailure.VERSION_MISSING), "v1")
            agent.state.retryAt!!.millisecondsLeft(agent.time())
        }
        expectThat(pauses.last()).isGreaterThan(pauses.first() * 8)
        expectThat(agent.state.failure).isEqualTo(LoadFailure.VERSION_MISSING)
        expectThat(agent.state.lastReported?.phase).isEqualTo(WAITING)
    }

    @Test
    fun `the retry time of the weight store is respected`() {
        val agent = TestAgent(second, position = 0)
        agent.receive(second) { WAITING }
        repeat(2) { agent.tick() }
        val at = Deadline.fromEpochMilliseconds(agent.now + 30_000)
        agent.endCommand(LoadResult.Failed(LoadFailure.WEIGHT_STORE_LIMIT, at), "v1")
        expectThat(agent.state.retryAt!! >= at).isTrue()
    }

    @Test
    fun `an adapter is loaded while the target serves`() {
        val agent = TestAgent(plan("v1", 2, adapter = "embroidery"), position = 0)
        agent.receive(agent.state.plan!!) { WAITING }
        agent.tick()
        expectThat(agent.sent.single().kind).isEqualTo(LoadCommandKind.LOAD_ADAPTER)
        expectThat(agent.state.serving).isTrue()
    }

    @Test
    fun `edits of other rows change neither the plan nor the order`() {
        expectThat(plan("v2", 9)).isEqualTo(second.copy(revision = plan("v2", 9).revision))
    }
}
