package org.vanilladale.runtime

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOutboundHandler
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpRequest
import io.netty.util.ReferenceCountUtil
import java.io.IOException

/**
 * Rejects responses with a malformed field name in their head, before the HTTP codec reads them.
 *
 * Netty ends the name of a field in a response at its first blank and ignores what follows up to
 * the colon. It appends a line that begins with a blank to the value before it. A field then gets
 * another meaning, for example that of a length, and can't be told from a sound one.
 */
internal class ResponseHeadValidator : ChannelInboundHandlerAdapter() {
    /** Handler between the codec and the client, which tells when the next response may begin. */
    val requestListener: ChannelOutboundHandler = object : ChannelOutboundHandlerAdapter() {
        override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            if (message is HttpRequest) parser = ResponseHeadParser()
            context.write(message, promise)
        }
    }

    private var parser = ResponseHeadParser()

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) message.forEachByte { parser.accept(it) }
        if (!parser.isMalformed) {
            context.fireChannelRead(message)
            return
        }
        ReferenceCountUtil.release(message)
        context.fireExceptionCaught(IOException("malformed field name in the head of a response"))
        context.close()
    }
}
