package org.vanilladale.core.crash

/** Whether a request may start on its target now. */
public enum class StartDecision {
    /** The request is in flight. Call [InFlightRequests.stop] when it ends for any reason. */
    STARTED,

    /**
     * The request can't start, because another request runs isolated or waits to, or because it
     * has to run isolated itself and others are in flight. Try again after a request has stopped.
     * If the request stops waiting, call [InFlightRequests.stop], so that it doesn't block others.
     */
    WAIT,
}
