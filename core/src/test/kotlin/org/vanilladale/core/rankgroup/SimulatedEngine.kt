package org.vanilladale.core.rankgroup

import org.vanilladale.schema.ArmedMap
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Step
import org.vanilladale.schema.Term

/**
 * Engine of one rank. It keeps running when its agent crashes, and it obeys every command unless it
 * keeps fencing numbers.
 */
internal class SimulatedEngine(
    private val keepsFencing: Boolean,
    initial: Digest,
    initialMap: GroupMap,
) {
    var active = initial
    var activeMap = initialMap
        private set
    private val maps = mutableMapOf(initial to initialMap)
    var held: ArmedMap? = null
    var stalledUntil = 0L
    var entered = false
    private var activated = false
    private var step = 0L
    private var term = Term(0)

    val isHolding: Boolean get() = !activated && (held?.switchStep?.value ?: Long.MAX_VALUE) <= step

    fun readBack() = EngineReadBack(
        active,
        Step(if (entered) step + 1 else step),
        held,
        activated,
        term.takeIf { keepsFencing },
    )

    fun apply(command: EngineCommand) {
        if (keepsFencing && command.term < term) return
        term = maxOf(term, command.term)
        when (command) {
            is EngineCommand.Hold -> hold(command.map, false)
            is EngineCommand.Activate -> hold(command.map, true)
            is EngineCommand.Release -> if (command.map.names(held)) held = null
            is EngineCommand.Preload -> maps[command.digest] = command.map
            is EngineCommand.Fence -> Unit
        }
    }

    /** Enters the next step unless the engine is stalled, holding or already in the step. */
    fun tryEnter(now: Long) {
        if (entered || now < stalledUntil || isHolding) return
        held?.takeIf { activated && it.switchStep.value <= step }?.let {
            active = it.digest
            activeMap = maps[it.digest] ?: activeMap
            held = null
            activated = false
        }
        entered = true
    }

    fun completeStep() {
        entered = false
        step++
    }

    private fun hold(map: ArmedMap, activate: Boolean) {
        val late = map.switchStep < readBack().step
        // The worst engine that the protocol allows executes a late command to switch as soon as it
        // can.
        if (late && (keepsFencing || !activate)) return
        held = if (keepsFencing) map else map.copy(term = Term(0))
        activated = activate
    }

    private fun ArmedMap.names(other: ArmedMap?) =
        digest == other?.digest && switchStep == other.switchStep
}
