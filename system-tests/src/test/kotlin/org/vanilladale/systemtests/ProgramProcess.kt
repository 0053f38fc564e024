package org.vanilladale.systemtests

import java.io.File
import java.util.concurrent.TimeUnit

/** One shipped program or stand-in that runs as a process of its own. */
class ProgramProcess private constructor(private val process: Process, val log: File) {
    val alive: Boolean get() = process.isAlive

    val id: Long get() = process.pid()

    /** Asks for a graceful shutdown (SIGTERM). */
    fun terminate() {
        process.destroy()
    }

    /** Ends the process at once (SIGKILL). */
    fun kill() {
        process.destroyForcibly()
        process.waitFor(END_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends SIGKILL and does not wait. */
    fun killAtOnce() {
        process.destroyForcibly()
    }

    /** Stops (SIGSTOP) the process until [resume]. */
    fun pause() {
        signal("STOP")
    }

    /** Resumes (SIGCONT) a paused process. */
    fun resume() {
        signal("CONT")
    }

    /** Returns the exit code, or null when the process runs on for [seconds]. */
    fun exitCodeOrNull(seconds: Long): Int? =
        if (process.waitFor(seconds, TimeUnit.SECONDS)) process.exitValue() else null

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor()
    }

    companion object {
        private const val END_SECONDS = 5L
        private val root = File(System.getProperty("repository.root"))

        fun start(module: String, directory: File, vararg arguments: String): ProgramProcess {
            val jar = root.resolve("$module/target/vanilladale-$module.jar")
            val log = File.createTempFile("$module-", ".log", directory)
            val java = File(System.getProperty("java.home"), "bin/java").path
            val limits = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m")
            val command = listOf(java) + limits + listOf("-jar", jar.path) + arguments
            val process = ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log)
                .start()
            return ProgramProcess(process, log)
        }
    }
}
