package org.vanilladale.agent

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Binding
import org.vanilladale.schema.Cancel
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Refused
import org.vanilladale.schema.Submit
import org.vanilladale.transport.PeerConnection

/** Serves the attempts that come over one connection from an entry. */
internal class EntrySession(
    private val scope: CoroutineScope,
    private val number: Long,
    private val connection: PeerConnection,
    private val runner: AttemptRunner,
    private val bound: BoundRunner,
    private val refusesNewWork: () -> Boolean,
    private val slots: SlotQueue,
) {
    private val attempts = ConcurrentHashMap<AttemptId, Job>()

    /** Attempts that run or wait. */
    val inFlight: Int get() = attempts.size

    /** Sends [frame] unless the connection has ended. */
    fun send(frame: Frame) {
        connection.trySend(frame)
    }

    /** Ends the connection after the frames that are queued. */
    fun close() {
        connection.close()
    }

    /** Handles one frame; returns false for a type that this session does not know. */
    fun onFrame(frame: Frame): Boolean = when (frame) {
        is Submit -> {
            val binding = frame.binding
            when {
                binding != null -> startBound(frame, binding)
                !frame.idempotent -> refuse(frame, RefusalReason.BINDING_REQUIRED)
                refusesNewWork() -> refuse(frame, RefusalReason.LEAVING)
                else -> slots.modelRefusalOrNull(frame.adapter)?.let { refuse(frame, it) }
                    ?: start(frame)
            }
            true
        }

        is Cancel -> {
            attempts[AttemptId(number, frame.request, frame.attempt)]?.cancel()
            bound.cancel(frame)?.let(::send)
            true
        }

        else -> false
    }

    /** Cancels the attempts of a connection that has ended. */
    fun end() {
        attempts.values.forEach { it.cancel() }
    }

    /** The agent decides itself, because an entry may not have heard that it leaves. */
    private fun refuse(submit: Submit, reason: RefusalReason) {
        val load = slots.load()
        send(Refused(submit.request, submit.attempt, reason.code, reason.run, load = load))
    }

    /** The end of the connection or of the caller does not end a bound request. */
    private fun startBound(submit: Submit, binding: Binding) {
        val id = AttemptId(number, submit.request, submit.attempt)
        scope.launch { bound.run(id, submit, binding) { connection.send(it) } }
    }

    private fun start(submit: Submit) {
        val id = AttemptId(number, submit.request, submit.attempt)
        val job = scope.launch(start = CoroutineStart.LAZY) {
            runner.run(id, submit) { connection.send(it) }
        }
        if (attempts.putIfAbsent(id, job) != null) return
        job.invokeOnCompletion { attempts.remove(id, job) }
        job.start()
    }
}
