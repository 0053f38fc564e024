package org.vanilladale.runtime

import io.vertx.core.VertxException
import java.io.IOException
import java.util.concurrent.TimeoutException

/** Runs [block] and returns null when the network or the other side fails. */
public suspend fun <T> runCatchingIo(block: suspend () -> T): T? = try {
    block()
} catch (_: IOException) {
    null
} catch (_: VertxException) {
    null
} catch (_: TimeoutException) {
    null
}
