package org.vanilladale.core.rankgroup

import org.vanilladale.schema.Term

/**
 * Last check of the agent before an order reaches the engine, so that engines that ignore fencing
 * numbers get no order of an older term.
 */
public class EngineOrderGate {
    private var promised = Term(0)

    /** Orders dropped because a higher term had been promised. */
    public var droppedOrders: Long = 0
        private set

    /** Closes the gate to terms below [term]. */
    public fun promise(term: Term) {
        promised = maxOf(promised, term)
    }

    /** Returns true when [order] may go to the engine now; otherwise it is counted as dropped. */
    public fun admit(order: EngineOrder): Boolean {
        if (order.term >= promised) return true
        droppedOrders++
        return false
    }
}
