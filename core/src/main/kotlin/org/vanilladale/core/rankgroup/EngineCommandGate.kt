package org.vanilladale.core.rankgroup

import org.vanilladale.schema.Term

/**
 * Last check of the agent before a command is sent to the engine.
 *
 * It ensures that engines that ignore fencing numbers get no command of an older term.
 */
public class EngineCommandGate {
    private var promisedTerm = Term(0)

    /** Number of commands dropped because a higher term had been promised. */
    public var droppedCommands: Long = 0
        private set

    /** Rejects commands of terms below [term] from now on. */
    public fun promise(term: Term) {
        promisedTerm = maxOf(promisedTerm, term)
    }

    /** Returns true if [command] may be sent to the engine now. Otherwise counts it as dropped. */
    public fun admit(command: EngineCommand): Boolean {
        if (command.term >= promisedTerm) return true
        droppedCommands++
        return false
    }
}
