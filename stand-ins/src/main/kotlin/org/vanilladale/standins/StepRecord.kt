package org.vanilladale.standins

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject

/** Map digest that each rank used in each step, as runs of steps with the same digests. */
internal class StepRecord {
    private class Run(val first: Long, val digests: List<String>) {
        var last = first
    }

    private val runs = mutableListOf<Run>()

    /** Steps that waited for a rank which held. */
    var heldSteps: Long = 0

    /** Time for which steps waited for ranks that held. */
    var heldMilliseconds: Long = 0

    fun add(step: Long, digests: List<String>) {
        val run = runs.lastOrNull()
        if (run != null && run.digests == digests && run.last == step - 1) {
            run.last = step
        } else {
            runs += Run(step, digests)
        }
    }

    fun toJson(): JsonObject = JsonObject()
        .put("heldSteps", heldSteps)
        .put("heldMilliseconds", heldMilliseconds)
        .put(
            "runs",
            JsonArray(
                runs.map {
                    JsonObject()
                        .put("first", it.first)
                        .put("last", it.last)
                        .put("digests", JsonArray(it.digests))
                },
            ),
        )
}
