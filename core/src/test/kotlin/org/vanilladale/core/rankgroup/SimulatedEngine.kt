package org.vanilladale.core.rankgroup

import org.vanilladale.schema.ArmedMap
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Step
import org.vanilladale.schema.Term

/** Engine of one rank; it outlives its agent and obeys any order unless it keeps fencing. */
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

    fun apply(order: EngineOrder) {
        if (keepsFencing && order.term < term) return
        term = maxOf(term, order.term)
        when (order) {
            is EngineOrder.Hold -> hold(order.map, false)
            is EngineOrder.Activate -> hold(order.map, true)
            is EngineOrder.Release -> if (order.map.names(held)) held = null
            is EngineOrder.Preload -> maps[order.digest] = order.map
            is EngineOrder.Fence -> Unit
        }
    }

    /** Enters the next step if possible. */
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
        // The worst engine allowed: it obeys a late order to switch as soon as it can.
        if (late && (keepsFencing || !activate)) return
        held = if (keepsFencing) map else map.copy(term = Term(0))
        activated = activate
    }

    private fun ArmedMap.names(other: ArmedMap?) =
        digest == other?.digest && switchStep == other.switchStep
}
