package org.vanilladale.transport

import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import java.io.IOException
import kotlin.random.Random
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.vanilladale.core.membership.ConnectionHeartbeat
import org.vanilladale.core.membership.HeartbeatAction
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Heartbeat

/**
 * Open connection to another process of the system after the handshake.
 *
 * [send] may be called from any thread. [run] reads until the connection ends.
 */
public class PeerConnection internal constructor(
    public val remote: PeerIdentity,
    private val socket: Socket,
    private val reader: ByteReadChannel,
    private val writer: ByteWriteChannel,
    private val timer: ConnectionTimer,
    betweenEntries: Boolean,
) {
    private val outgoing = Channel<Frame>(OUTGOING_FRAMES)
    private val closeReason = CompletableDeferred<CloseReason>()

    private val pulse =
        ConnectionHeartbeat(timer.rule, betweenEntries, Random.Default, timer.clock())

    /** Completes with the reason when the connection has ended. */
    public val closed: Deferred<CloseReason> get() = closeReason

    /**
     * Queues [frame]; suspends while the queue is full.
     *
     * Returns false when the connection has ended. True doesn't mean that the peer got the frame.
     */
    public suspend fun send(frame: Frame): Boolean = try {
        outgoing.send(frame)
        true
    } catch (_: ClosedSendChannelException) {
        false
    }

    /** Queues [frame] unless the connection has ended or its queue is full. */
    public fun trySend(frame: Frame): Boolean = outgoing.trySend(frame).isSuccess

    /**
     * Asks the peer for a frame when none came for a while; call it before a request. Without an
     * answer the connection ends as [CloseReason.SILENT], long before its silence deadline.
     */
    public fun probeIfQuiet() {
        val probes = synchronized(pulse) { pulse.startProbe(timer.clock()) }
        if (probes) trySend(Heartbeat(answer = true))
    }

    /** Ends the connection from this side. */
    public fun close() {
        finish(CloseReason.LOCAL)
    }

    /**
     * Reads frames and passes them to [onFrame] one by one until the connection ends.
     *
     * @param heartbeat creates the frame that an idle connection sends
     */
    public suspend fun run(
        heartbeat: () -> Heartbeat,
        onFrame: suspend (Frame) -> Unit,
    ): CloseReason = try {
        runUntilClosed(heartbeat, onFrame)
    } finally {
        // A cancelled run ends the connection too; the peer would otherwise wait for silence.
        finish(CloseReason.LOCAL)
        closeSocket()
    }

    private suspend fun runUntilClosed(
        heartbeat: () -> Heartbeat,
        onFrame: suspend (Frame) -> Unit,
    ): CloseReason = coroutineScope {
        val writing = launch { writeFrames() }
        val reading = launch { readFrames(heartbeat, onFrame) }
        val reason = try {
            timer.add(this@PeerConnection, heartbeat)
            closeReason.await()
        } finally {
            timer.remove(this@PeerConnection)
        }
        reading.cancel()
        // Frames that were queued before a local close, such as a last refusal, are still written.
        // A peer that reads nothing must not hold the end up.
        if (reason == CloseReason.LOCAL) {
            withTimeoutOrNull(timer.rule.baseMilliseconds) { writing.join() }
        }
        writing.cancel()
        reason
    }

    private suspend fun readFrames(heartbeat: () -> Heartbeat, onFrame: suspend (Frame) -> Unit) {
        try {
            while (!closeReason.isCompleted) {
                val length = reader.readInt()
                if (length !in 1..FrameCodec.MAXIMUM_FRAME_BYTES) {
                    reject(FrameFault.Length(length))
                    return
                }
                val bytes = reader.readByteArray(length)
                FrameCodec.decode(bytes).fold({ fault -> reject(fault) }) { frame ->
                    received(frame, heartbeat)
                    onFrame(frame)
                }
            }
        } catch (_: IOException) {
            finish(CloseReason.REMOTE)
        }
    }

    private fun reject(fault: FrameFault) {
        TransportLog.faultyFrame(remote, fault)
        finish(CloseReason.MALFORMED)
    }

    private suspend fun writeFrames() {
        try {
            for (frame in outgoing) {
                write(frame)
                if (outgoing.isEmpty) writer.flush()
            }
            writer.flush()
        } catch (_: IOException) {
            finish(CloseReason.REMOTE)
        }
    }

    private suspend fun write(frame: Frame) {
        val bytes = FrameCodec.encode(frame)
        writer.writeInt(bytes.size)
        writer.writeByteArray(bytes)
    }

    private fun received(frame: Frame, heartbeat: () -> Heartbeat) {
        val next = (frame as? Heartbeat)?.nextMilliseconds
        synchronized(pulse) {
            val now = timer.clock()
            if (next == null) {
                pulse.frameReceived(now)
            } else {
                pulse.heartbeatReceived(next, frame.leastMilliseconds ?: next, now)
            }
        }
        if (frame is Heartbeat && frame.answer) trySend(heartbeat())
    }

    /** Looks at the deadlines; [connections] are open in this process. */
    internal fun tick(connections: Int, wokeUp: Boolean, heartbeat: () -> Heartbeat) {
        val action = synchronized(pulse) {
            val now = timer.clock()
            if (wokeUp) pulse.resumed(now)
            pulse.tick(connections, now)
        }
        when (action) {
            is HeartbeatAction.Send -> trySend(
                heartbeat().copy(
                    nextMilliseconds = action.nextMilliseconds,
                    leastMilliseconds =
                    action.leastMilliseconds.takeIf { it != action.nextMilliseconds },
                ),
            )
            HeartbeatAction.Abandon -> finish(CloseReason.SILENT)
            HeartbeatAction.None -> Unit
        }
    }

    private fun finish(reason: CloseReason) {
        if (closeReason.complete(reason)) outgoing.close()
    }

    private fun closeSocket() {
        outgoing.close()
        socket.close()
    }

    private companion object {
        /** Bounds the memory of a connection whose peer reads slowly. */
        const val OUTGOING_FRAMES = 1024
    }
}
