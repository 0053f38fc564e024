package org.vanilladale.transport

import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import java.io.IOException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.Timestamp

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
    private val timing: ConnectionTiming,
    private val clock: () -> Timestamp,
) {
    private val outgoing = Channel<Frame>(OUTGOING_FRAMES)
    private val closeReason = CompletableDeferred<CloseReason>()

    @Volatile
    private var silentAt: Deadline = clock().deadlineAfter(timing.silenceMilliseconds)

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
        val watching = launch { watch(heartbeat) }
        val reading = launch { readFrames(onFrame) }
        val reason = closeReason.await()
        watching.cancel()
        reading.cancel()
        // Frames that were queued before a local close, such as a last refusal, are still written.
        // A peer that reads nothing must not hold the end up.
        if (reason == CloseReason.LOCAL) {
            withTimeoutOrNull(timing.heartbeatMilliseconds) { writing.join() }
        }
        writing.cancel()
        reason
    }

    private suspend fun readFrames(onFrame: suspend (Frame) -> Unit) {
        try {
            while (!closeReason.isCompleted) {
                val length = reader.readInt()
                if (length !in 1..FrameCodec.MAXIMUM_FRAME_BYTES) {
                    reject(FrameFault.Length(length))
                    return
                }
                val bytes = reader.readByteArray(length)
                silentAt = clock().deadlineAfter(timing.silenceMilliseconds)
                FrameCodec.decode(bytes).fold({ fault -> reject(fault) }, { onFrame(it) })
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

    private suspend fun watch(heartbeat: () -> Heartbeat) {
        var expectedAt = clock().deadlineAfter(timing.heartbeatMilliseconds)
        while (!closeReason.isCompleted) {
            delay(timing.heartbeatMilliseconds)
            val now = clock()
            // A late tick means that this process was paused; its peers get time to be heard again.
            val late = now.epochMilliseconds - expectedAt.epochMilliseconds
            if (late > timing.heartbeatMilliseconds) {
                silentAt = now.deadlineAfter(timing.silenceMilliseconds)
            }
            expectedAt = now.deadlineAfter(timing.heartbeatMilliseconds)
            if (silentAt.hasPassed(now)) {
                finish(CloseReason.SILENT)
                return
            }
            trySend(heartbeat())
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
