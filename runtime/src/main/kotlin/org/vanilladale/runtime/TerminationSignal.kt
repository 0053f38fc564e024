package org.vanilladale.runtime

import kotlinx.coroutines.runBlocking

/** Runs [stop] on the first SIGTERM or SIGINT and then ends the process with exit code 0. */
public fun onTermination(stop: suspend () -> Unit) {
    val hook = Thread {
        runBlocking { stop() }
        // Without halt the exit code would be that of the signal.
        Runtime.getRuntime().halt(0)
    }
    Runtime.getRuntime().addShutdownHook(hook)
}
