package org.vanilladale.bench.path

import java.io.File

/** Processor time and memory of a process that the caller of this program started. */
internal class ProcessUsage(private val name: String, private val id: Long) {
    private val secondsAtStart = processorSeconds()

    /** Returns the use since this object was created. */
    fun result(): UsageResult =
        UsageResult(name, processorSeconds() - secondsAtStart, residentMegabytes())

    private fun processorSeconds(): Double {
        val info = ProcessHandle.of(id).orElseThrow { IllegalArgumentException(MISSING) }.info()
        return info.totalCpuDuration().map { it.toNanos() / NANOSECONDS }.orElse(0.0)
    }

    private fun residentMegabytes(): Double {
        val line = File("/proc/$id/status").readLines().first { it.startsWith("VmRSS:") }
        val kilobytes = line.filter { it.isDigit() }.toDouble()
        return kilobytes / KILOBYTES_PER_MEGABYTE
    }

    private companion object {
        const val NANOSECONDS = 1e9
        const val KILOBYTES_PER_MEGABYTE = 1024.0
        const val MISSING = "no process has this id; give the id of a running process"
    }
}
