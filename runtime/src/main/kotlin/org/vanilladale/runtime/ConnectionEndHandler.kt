package org.vanilladale.runtime

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPromise
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.channel.socket.ChannelInputShutdownReadComplete
import java.net.SocketException
import java.util.concurrent.TimeUnit

/**
 * Reports an error on each connection that the server did not end in order.
 *
 * Netty closes a connection without an error when a write fails, so the handlers that follow can't
 * tell a reset from the end of a response. An end in order is one that the server announced and
 * that no reset followed while the rest of the request was written.
 */
internal class ConnectionEndHandler : ChannelDuplexHandler() {
    private var hasInput = false
    private var hasFailed = false
    private var isClosedHere = false
    private var isEndedInOrder = false

    override fun handlerAdded(context: ChannelHandlerContext) {
        // Without half-closure, Netty closes the connection at the end of the input, and a reset
        // after that is never seen.
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        hasInput = true
        context.fireChannelRead(message)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when (event) {
            // Without a response there is nothing that a reset could have cut.
            ChannelInputShutdownEvent.INSTANCE ->
                if (hasInput) finishRequest(context) else closeInOrder(context)

            // Only follows the event above, which the other handlers do not see either.
            ChannelInputShutdownReadComplete.INSTANCE -> Unit

            else -> context.fireUserEventTriggered(event)
        }
    }

    private fun closeInOrder(context: ChannelHandlerContext) {
        isEndedInOrder = !hasFailed
        context.close()
    }

    /** Closes the connection once the rest of the request is written, or can't be. */
    private fun finishRequest(context: ChannelHandlerContext) {
        val expiry = context.executor().schedule(
            { context.close() },
            MAX_REST_MILLISECONDS,
            TimeUnit.MILLISECONDS,
        )
        // Buffers are written in order, so this one is done when all earlier ones are.
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { written ->
            expiry.cancel(false)
            if (written.isSuccess) closeInOrder(context) else context.close()
        }
    }

    override fun close(context: ChannelHandlerContext, promise: ChannelPromise) {
        isClosedHere = true
        context.close(promise)
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        hasFailed = true
        context.fireExceptionCaught(cause)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (!isEndedInOrder && !isClosedHere && !hasFailed) {
            context.fireExceptionCaught(SocketException("connection reset during the request"))
        }
        context.fireChannelInactive()
    }

    private companion object {
        /**
         * Bounds the time for which a server that has ended its response without reading the
         * request holds the connection. Calls have shorter timeouts of their own.
         */
        const val MAX_REST_MILLISECONDS = 30_000L
    }
}
