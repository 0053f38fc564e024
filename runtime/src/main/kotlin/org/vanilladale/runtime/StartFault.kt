package org.vanilladale.runtime

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.io.IOException
import kotlinx.coroutines.runBlocking

/** Why a program could not start. */
public class StartFault private constructor(public val message: String) {
    internal companion object {
        fun notListening(cause: IOException) = StartFault(
            "cannot listen: ${cause.message}; name addresses of this VM in the settings that no " +
                "other process uses",
        )
    }
}

/**
 * Runs [start] of a program.
 *
 * A fault is returned for the program to end with: threads of its event loops would otherwise keep
 * a process alive that listens nowhere.
 */
public fun startProgram(start: suspend () -> Unit): Either<StartFault, Unit> = try {
    runBlocking { start() }
    Unit.right()
} catch (failed: IOException) {
    StartFault.notListening(failed).left()
}
