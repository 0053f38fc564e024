package org.vanilladale.core.crash

import org.vanilladale.schema.Fingerprint

/** Requests that run and requests that wait to run isolated. The caller holds the lock. */
internal class InFlightState<I : Any> {
    private val running = LinkedHashMap<I, RequestFingerprints>()
    private val waitingForIsolation = LinkedHashSet<I>()
    private var isolatedId: I? = null

    val size: Int get() = running.size

    fun start(id: I, request: RequestFingerprints, isolated: Boolean): StartDecision {
        if (id in running) return StartDecision.STARTED
        if (isolated && waitingForIsolation.firstOrNull() != id) waitingForIsolation += id
        val mayStart = if (isolated) {
            running.isEmpty() && waitingForIsolation.first() == id
        } else {
            isolatedId == null && waitingForIsolation.isEmpty()
        }
        if (!mayStart) return StartDecision.WAIT
        waitingForIsolation -= id
        running[id] = request
        if (isolated) isolatedId = id
        return StartDecision.STARTED
    }

    fun stop(id: I) {
        running -= id
        waitingForIsolation -= id
        if (isolatedId == id) isolatedId = null
    }

    fun nonIsolatedSuspectsOf(suspected: Set<Fingerprint>): List<I> = running
        .filter { (id, request) ->
            id != isolatedId && (request.content in suspected || request.key in suspected)
        }
        .keys.toList()

    fun takeAll(): List<RequestFingerprints> {
        val all = running.values.toList()
        running.clear()
        // A request that still waits calls start again. One that no longer waits must not block
        // others.
        waitingForIsolation.clear()
        isolatedId = null
        return all
    }
}
