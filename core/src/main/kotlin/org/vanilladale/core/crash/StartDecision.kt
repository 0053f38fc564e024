package org.vanilladale.core.crash

/** Whether a request may start on its target now. */
public enum class StartDecision {
    /** The request is in flight; call [InFlightRequests.stop] when it ends for any reason. */
    STARTED,

    /**
     * Another request runs alone or waits to; ask again after a stop. A request that gives up
     * calls [InFlightRequests.stop], so that its wait holds back no other.
     */
    WAIT,
}
