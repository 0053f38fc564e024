package org.vanilladale.bench.path

import java.io.File
import java.io.IOException

/** Processor time and memory of a process that the caller of this program started. */
internal class ProcessUsage(private val name: String, private val id: Long) {
    private val secondsAtStart = processorSeconds()
    private val compilerSecondsAtStart = compilerSeconds()

    /** Returns the use since this object was created. */
    fun result(): UsageResult = UsageResult(
        name,
        processorSeconds() - secondsAtStart,
        compilerSeconds() - compilerSecondsAtStart,
        residentMegabytes(),
    )

    private fun processorSeconds(): Double {
        val info = ProcessHandle.of(id).orElseThrow { IllegalArgumentException(MISSING) }.info()
        return info.totalCpuDuration().map { it.toNanos() / NANOSECONDS }.orElse(0.0)
    }

    /** Time of the compiler threads; needs a JVM with `-XX:-UseDynamicNumberOfCompilerThreads`. */
    private fun compilerSeconds(): Double =
        File("/proc/$id/task").listFiles().orEmpty().sumOf { compilerTicks(it) } / TICKS_PER_SECOND

    private fun compilerTicks(task: File): Long = try {
        val (thread, fields) = File(
            task,
            "stat",
        ).readText().substringAfter('(').split(") ", limit = 2)
        if (COMPILER.containsMatchIn(thread)) {
            fields.split(' ').let { it[USER_FIELD].toLong() + it[SYSTEM_FIELD].toLong() }
        } else {
            0
        }
    } catch (_: IOException) {
        // The thread ended between the listing and the reading.
        0
    }

    private fun residentMegabytes(): Double {
        val line = File("/proc/$id/status").readLines().first { it.startsWith("VmRSS:") }
        val kilobytes = line.filter { it.isDigit() }.toDouble()
        return kilobytes / KILOBYTES_PER_MEGABYTE
    }

    private companion object {
        const val NANOSECONDS = 1e9
        const val KILOBYTES_PER_MEGABYTE = 1024.0
        const val TICKS_PER_SECOND = 100.0
        const val USER_FIELD = 11
        const val SYSTEM_FIELD = 12
        const val MISSING = "no process has this id; give the id of a running process"
        val COMPILER = Regex("^C[12] Compiler")
    }
}
