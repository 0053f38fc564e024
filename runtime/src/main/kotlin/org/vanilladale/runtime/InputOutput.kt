package org.vanilladale.runtime

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.vertx.core.VertxException
import java.io.IOException
import java.util.concurrent.TimeoutException

/** Runs [block] and returns null when the network or the other side fails. */
public suspend fun <T> runCatchingIo(block: suspend () -> T): T? = catchIo(block).getOrNull()

/** Runs [block] and returns the exception when the network or the other side fails. */
public suspend fun <T> catchIo(block: suspend () -> T): Either<Exception, T> = try {
    block().right()
} catch (failure: IOException) {
    failure.left()
} catch (failure: VertxException) {
    failure.left()
} catch (failure: TimeoutException) {
    failure.left()
}
