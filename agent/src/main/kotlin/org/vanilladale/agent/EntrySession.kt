package org.vanilladale.agent

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.vanilladale.schema.Cancel
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Submit
import org.vanilladale.transport.PeerConnection

/** Serves the attempts that come over one connection from an entry. */
internal class EntrySession(
    private val scope: CoroutineScope,
    private val number: Long,
    private val connection: PeerConnection,
    private val runner: AttemptRunner,
) {
    private val attempts = ConcurrentHashMap<AttemptId, Job>()

    /** Handles one frame; returns false for a type that this session does not know. */
    fun onFrame(frame: Frame): Boolean = when (frame) {
        is Submit -> {
            start(frame)
            true
        }

        is Cancel -> {
            attempts[AttemptId(number, frame.request, frame.attempt)]?.cancel()
            true
        }

        else -> false
    }

    /** Cancels the attempts of a connection that has ended. */
    fun end() {
        attempts.values.forEach { it.cancel() }
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
