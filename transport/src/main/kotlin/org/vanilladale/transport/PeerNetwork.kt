package org.vanilladale.transport

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Hello
import org.vanilladale.schema.Role
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.Welcome

/** Dials and accepts connections between the system's own processes. */
public class PeerNetwork private constructor(
    private val local: LocalIdentity,
    private val timing: ConnectionTiming,
    private val timer: ConnectionTimer,
    private val selector: SelectorManager,
) : AutoCloseable {
    public constructor(
        local: LocalIdentity,
        timing: ConnectionTiming,
        clock: () -> Timestamp,
    ) : this(
        local,
        timing,
        ConnectionTimer(timing.heartbeatRule, clock),
        SelectorManager(Dispatchers.IO),
    )

    /**
     * Returns a network of another identity that shares the threads and timer of this one, for a
     * process that stands in for many peers. [close] ends both.
     */
    public fun withIdentity(other: LocalIdentity): PeerNetwork =
        PeerNetwork(other, timing, timer, selector)

    /** Dials [address] and shakes hands. */
    public suspend fun dial(address: SocketAddressText): Either<DialFault, PeerConnection> {
        var socket: Socket? = null
        return try {
            withTimeoutOrNull(timing.handshakeMilliseconds) {
                val opened = aSocket(selector).tcp().connect(inetAddress(address)) {
                    noDelay = true
                }
                socket = opened
                greet(opened)
            } ?: DialFault.Timeout(address).left().also { socket?.close() }
        } catch (refused: IOException) {
            socket?.close()
            DialFault.Unreachable(address, refused.message).left()
        } catch (cancelled: CancellationException) {
            socket?.close()
            throw cancelled
        }
    }

    private suspend fun greet(socket: Socket): Either<DialFault, PeerConnection> {
        val reader = socket.openReadChannel()
        val writer = socket.openWriteChannel(autoFlush = false)
        writeOne(writer, local.hello())
        val welcome = readOne(reader) as? Welcome
        if (welcome == null) {
            socket.close()
            return DialFault.NotWelcome.left()
        }
        val remote = PeerIdentity(
            welcome.sender,
            welcome.role,
            welcome.dataCentre,
            welcome.incarnation,
            welcome.target,
        )
        return connection(remote, socket, reader, writer).right()
    }

    /**
     * Accepts connections on [address] until the returned job is cancelled.
     *
     * @throws IOException if the address can't be bound
     */
    public suspend fun listen(
        scope: CoroutineScope,
        address: SocketAddressText,
        onConnection: suspend (PeerConnection) -> Unit,
    ): Job {
        val server = aSocket(selector).tcp().bind(inetAddress(address)) { reuseAddress = true }
        return scope.launch { acceptAll(server, onConnection) }
    }

    private suspend fun CoroutineScope.acceptAll(
        server: ServerSocket,
        onConnection: suspend (PeerConnection) -> Unit,
    ) {
        try {
            while (true) {
                val socket = server.accept()
                launch { welcome(socket)?.let { onConnection(it) } }
            }
        } finally {
            server.close()
        }
    }

    private suspend fun welcome(socket: Socket): PeerConnection? {
        var connection: PeerConnection? = null
        try {
            connection = withTimeoutOrNull(timing.handshakeMilliseconds) { answer(socket) }
        } catch (broken: IOException) {
            TransportLog.handshakeFailed(socket.remoteAddress.toString(), broken.message)
        } finally {
            if (connection == null) socket.close()
        }
        return connection
    }

    private suspend fun answer(socket: Socket): PeerConnection? {
        val reader = socket.openReadChannel()
        val writer = socket.openWriteChannel(autoFlush = false)
        val hello = readOne(reader) as? Hello
        if (hello == null || !local.accepts(hello)) {
            val detail = "no valid hello; check peerSecret and the version of the peer"
            TransportLog.handshakeFailed(socket.remoteAddress.toString(), detail)
            return null
        }
        writeOne(writer, local.welcome())
        val remote = PeerIdentity(
            hello.sender,
            hello.role,
            hello.dataCentre,
            hello.incarnation,
            hello.target,
        )
        return connection(remote, socket, reader, writer)
    }

    private fun connection(
        remote: PeerIdentity,
        socket: Socket,
        reader: ByteReadChannel,
        writer: ByteWriteChannel,
    ): PeerConnection {
        val betweenEntries = local.identity.role == Role.ENTRY && remote.role == Role.ENTRY
        return PeerConnection(remote, socket, reader, writer, timer, betweenEntries)
    }

    private suspend fun readOne(reader: ByteReadChannel): Frame? {
        val length = reader.readInt()
        if (length !in 1..MAXIMUM_HANDSHAKE_BYTES) return null
        return FrameCodec.decode(reader.readByteArray(length)).getOrNull()
    }

    private suspend fun writeOne(writer: ByteWriteChannel, frame: Frame) {
        val bytes = FrameCodec.encode(frame)
        writer.writeInt(bytes.size)
        writer.writeByteArray(bytes)
        writer.flush()
    }

    override fun close() {
        timer.close()
        selector.close()
    }

    private companion object {
        /** A peer that has not shown the secret gets no more memory than this. */
        const val MAXIMUM_HANDSHAKE_BYTES = 4096

        fun inetAddress(address: SocketAddressText): InetSocketAddress =
            InetSocketAddress(address.host, address.port)
    }
}
