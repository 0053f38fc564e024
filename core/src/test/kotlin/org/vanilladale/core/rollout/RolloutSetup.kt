package org.vanilladale.core.rollout

import kotlin.random.Random
import org.vanilladale.schema.Adapter
import org.vanilladale.schema.AdapterName
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.ModelName
import org.vanilladale.schema.ModelVersion
import org.vanilladale.schema.Pool
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.PoolType
import org.vanilladale.schema.Revision
import org.vanilladale.schema.RolloutPhase
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetRollout
import org.vanilladale.schema.Timestamp

internal val model = ModelName.parse("drafts")

internal fun version(text: String) = ModelVersion.parse(text)

internal fun plan(text: String, revision: Long, targets: Int = 4, adapter: String? = null) =
    RolloutPlan.fromPoolOrNull(
        Pool(
            PoolName.parse("drafting"),
            PoolType.MODEL,
            List(targets) {
                PoolTarget(
                    TargetId.parse("t-$it"),
                    SocketAddressText.parse("10.0.0.$it:7"),
                    DataCentreName.parse("lodz-1"),
                )
            },
            model,
            version = version(text),
            adapters = listOfNotNull(adapter)
                .map { Adapter(AdapterName.parse(it), version("a1")) },
        ),
        Revision(revision),
    )!!

/**
 * A single agent at [position] in the order of the plan [first], 10 s after the start of its
 * observation.
 */
internal class TestAgent(
    first: RolloutPlan,
    position: Int,
    options: RolloutOptions = RolloutOptions(),
) {
    private val rollout = Rollout(options, Random(1))
    val target: TargetId = first.units[position].single()
    var now = 1_000_000L
    var state = RolloutState(target, time())
    val sent = mutableListOf<LoadCommand>()

    init {
        accept(first)
        readEngine("v1")
        repeat(10) { tick() }
    }

    fun time() = Timestamp.fromEpochMilliseconds(now)

    fun apply(event: RolloutEvent) {
        val step = rollout.decide(state, event, time())
        state = step.state
        sent += step.actions.filterIsInstance<RolloutAction.Send>().map { it.command }
    }

    fun accept(plan: RolloutPlan) = apply(RolloutEvent.PlanAccepted(plan))

    fun readEngine(version: String?) = apply(
        RolloutEvent.EngineRead(EngineModels(version?.let { model }, version?.let(::version))),
    )

    fun tick(inFlight: Int = 0) {
        now += 1_000
        apply(RolloutEvent.Tick(inFlight, connected = true))
    }

    fun endCommand(result: LoadResult, version: String?) = apply(
        RolloutEvent.CommandEnded(
            sent.last(),
            result,
            EngineModels(version?.let { model }, version?.let(::version)),
        ),
    )

    /**
     * Receives a report from each other target of [plan], with the phase [phaseOf] its position. A
     * target for which [phaseOf] returns null sends no report.
     */
    fun receive(plan: RolloutPlan, serving: Boolean = true, phaseOf: (Int) -> RolloutPhase?) {
        plan.units.forEachIndexed { position, unit ->
            val phase = phaseOf(position)
            if (phase != null && unit.single() != target) {
                apply(
                    RolloutEvent.ProgressReceived(
                        TargetRollout(
                            unit.single(),
                            plan.revision,
                            phase,
                            serving && phase != RolloutPhase.LOADING,
                            time(),
                            plan.id,
                        ),
                    ),
                )
            }
        }
    }
}
