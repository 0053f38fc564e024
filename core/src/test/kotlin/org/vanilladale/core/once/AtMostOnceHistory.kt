package org.vanilladale.core.once

import org.vanilladale.schema.RunState

/** Records the events of one schedule, which are checked after its end. */
internal class AtMostOnceHistory {
    private val invoked = mutableSetOf<String>()
    private val executions = mutableMapOf<String, MutableList<String>>()
    private val outcomes = mutableMapOf<String, MutableSet<String>>()
    private val refusals = mutableMapOf<String, MutableSet<RunState>>()
    private var lateDispatches = 0

    fun invoke(request: String) {
        invoked += request
    }

    fun execute(request: String, execution: String, late: Boolean) {
        executions.getOrPut(request) { mutableListOf() } += execution
        if (late) lateDispatches++
    }

    fun outcome(request: String, execution: String) {
        outcomes.getOrPut(request) { mutableSetOf() } += execution
    }

    fun refused(request: String, run: RunState) {
        refusals.getOrPut(request) { mutableSetOf() } += run
    }

    val requests: Int get() = invoked.size

    /** Number of requests whose caller received neither an outcome nor run state `no`. */
    val unknown: Int get() = invoked.count {
        it !in outcomes && RunState.NO !in refusals[it].orEmpty()
    }

    val done: Int get() = outcomes.size

    fun violations(): List<String> = buildList {
        invoked.forEach { request ->
            val ran = executions[request].orEmpty()
            if (ran.size > 1) add("$request ran ${ran.size} times")
            if (ran.isNotEmpty() && RunState.NO in refusals[request].orEmpty()) {
                add("$request was told run=no and ran")
            }
            if (!ran.containsAll(outcomes[request].orEmpty())) {
                add("$request got the outcome of another request")
            }
        }
        if (lateDispatches > 0) add("$lateDispatches dispatches after the deadline")
    }
}
