package org.vanilladale.entry

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger
import org.vanilladale.core.membership.ConnectionTimes
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.runtime.PeerDialler
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.runtime.systemNow
import org.vanilladale.schema.Answer
import org.vanilladale.schema.AnswerEnd
import org.vanilladale.schema.CancelResult
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.Refused
import org.vanilladale.schema.RequestId
import org.vanilladale.transport.CloseReason
import org.vanilladale.transport.PeerConnection
import org.vanilladale.transport.PeerNetwork

/** Maintains a connection to the agent of [target] and dispatches its frames to the attempts. */
internal class AgentLink(
    val target: PoolTarget,
    private val network: PeerNetwork,
    private val counters: SystemCounters,
    private val heartbeat: (PeerConnection) -> Heartbeat,
    private val onConnected: (PeerConnection) -> Unit,
    private val onDisconnected: (PeerConnection) -> Unit,
    private val onPeerFrame: suspend (PeerConnection, Frame) -> Unit,
    private val onSuspicion: (Boolean) -> Unit,
) {
    private val pending = ConcurrentHashMap<RequestId, AttemptEvents>()
    private var job: Job? = null

    @Volatile
    private var retired = false

    /** The open connection, or null if there is none. */
    @Volatile
    var connection: PeerConnection? = null
        private set

    /** The number of attempts in flight on this link. */
    val inFlight: Int get() = pending.size

    /** Connects, and reconnects after each loss, until the link is retired. */
    fun start(scope: CoroutineScope) {
        val dialler = PeerDialler(
            network,
            target.agentAddress,
            ConnectionTimes(maxBackoffMilliseconds = MAX_BACKOFF_MILLISECONDS),
            ::systemNow,
            ::serve,
        ) { suspected -> if (!retired) onSuspicion(suspected) }
        job = scope.launch { dialler.run() }
    }

    /**
     * Closes the connection once no attempt uses it. The wait is bounded, because every attempt
     * ends by its deadline.
     */
    fun retire(scope: CoroutineScope) {
        retired = true
        scope.launch {
            while (inFlight > 0) delay(POLL_MILLISECONDS)
            job?.cancel()
            connection?.close()
        }
    }

    /** Registers an attempt for [request] and returns its events, to be released with [close]. */
    fun open(request: RequestId): AttemptEvents {
        val events = AttemptEvents(connection)
        pending[request] = events
        return events
    }

    /** Unregisters [events]. Later frames for [request] are dropped and counted. */
    fun close(request: RequestId, events: AttemptEvents) {
        pending.remove(request, events)
    }

    private suspend fun serve(opened: PeerConnection) {
        if (opened.remote.target != target.target) {
            Logger.warn {
                "entry: ${target.agentAddress} serves ${opened.remote.target}, but the table of " +
                    "pools says ${target.target}; correct the table or the agent's settings"
            }
            opened.close()
            // The run flushes the queued frames and closes the socket.
            opened.run({ heartbeat(opened) }) {}
            return
        }
        connection = opened
        onConnected(opened)
        val reason = try {
            opened.run({ heartbeat(opened) }) { frame -> dispatch(opened, frame) }
        } finally {
            connection = null
            opened.close()
            onDisconnected(opened)
        }
        counters.event("connection-${reason.code}")
        val retryReason = if (reason == CloseReason.SILENT) {
            RetryReason.CONNECTION_SILENT
        } else {
            RetryReason.CONNECTION_LOST
        }
        pending.values.filter { it.connection === opened }.forEach { it.lost(retryReason) }
    }

    private suspend fun dispatch(opened: PeerConnection, frame: Frame) {
        val request = when (frame) {
            is Answer -> frame.request
            is AnswerEnd -> frame.request
            is Refused -> frame.request
            is CancelResult -> frame.request
            else -> return onPeerFrame(opened, frame)
        }
        val events = pending[request]
        if (events == null) {
            counters.event("frame-without-attempt")
        } else if (!events.received(frame)) {
            // Ends the stream of a slow caller, instead of blocking all other streams.
            counters.event("attempt-buffer-full")
        }
    }

    private companion object {
        /** Bounds the time until a restarted agent receives its tables and requests again. */
        const val MAX_BACKOFF_MILLISECONDS = 2_000L

        const val POLL_MILLISECONDS = 50L
    }
}
