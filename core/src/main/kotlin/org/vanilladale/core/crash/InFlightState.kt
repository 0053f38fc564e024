package org.vanilladale.core.crash

import org.vanilladale.schema.Fingerprint

/** What runs and who waits to run alone. The caller holds the lock. */
internal class InFlightState<I : Any> {
    private val running = LinkedHashMap<I, RequestFingerprints>()
    private val waitingAlone = LinkedHashSet<I>()
    private var alone: I? = null

    val size: Int get() = running.size

    fun start(id: I, request: RequestFingerprints, isolated: Boolean): StartDecision {
        if (id in running) return StartDecision.STARTED
        if (isolated && waitingAlone.firstOrNull() != id) waitingAlone += id
        val mayStart = if (isolated) {
            running.isEmpty() && waitingAlone.first() == id
        } else {
            alone == null && waitingAlone.isEmpty()
        }
        if (!mayStart) return StartDecision.WAIT
        waitingAlone -= id
        running[id] = request
        if (isolated) alone = id
        return StartDecision.STARTED
    }

    fun stop(id: I) {
        running -= id
        waitingAlone -= id
        if (alone == id) alone = null
    }

    fun sharedCopiesOf(suspected: Set<Fingerprint>): List<I> = running
        .filter { (id, request) ->
            id != alone && (request.content in suspected || request.key in suspected)
        }
        .keys.toList()

    fun takeAll(): List<RequestFingerprints> {
        val all = running.values.toList()
        running.clear()
        // A request that still waits asks again; one that gave up must not hold back the others.
        waitingAlone.clear()
        alone = null
        return all
    }
}
