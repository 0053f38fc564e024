package org.vanilladale.core.rankgroup

import org.vanilladale.schema.Term

/**
 * Last check of the agent before an command reaches the engine, so that engines that ignore fencing
 * numbers get no command of an older term.
 */
public class EngineCommandGate {
    private var promisedTerm = Term(0)

    /** Orders dropped because a higher term had been promisedTerm. */
    public var droppedCommands: Long = 0
        private set

    /** Closes the gate to terms below [term]. */
    public fun promise(term: Term) {
        promisedTerm = maxOf(promisedTerm, term)
    }

    /** Returns true when [command] may go to the engine now; otherwise it is counted as dropped. */
    public fun admit(command: EngineCommand): Boolean {
        if (command.term >= promisedTerm) return true
        droppedCommands++
        return false
    }
}
