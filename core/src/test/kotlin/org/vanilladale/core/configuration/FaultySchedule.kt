package org.vanilladale.core.configuration

import kotlin.random.Random
import org.vanilladale.schema.Tables

private const val PROCESSES = 9
private const val FAULTS_END_MILLISECONDS = 120_000L
private const val END_MILLISECONDS = 180_000L

/**
 * Injects random edits and faults for 120 s, followed by 60 s in which all processes and links are
 * up. In half of the seeds, the service is down during these 60 s.
 *
 * Odd seeds have partitions, and even seeds serve two contents of the same revision. The
 * combination is left out, because a protocol without a majority can't survive it.
 */
internal class FaultySchedule(
    private val seed: Long,
    rules: ConfigurationRules,
    heartbeats: Boolean,
) {
    private enum class Service { UP, DOWN, STALE, FLAPPING }

    private val run = ConfigurationRun(
        seed,
        PROCESSES,
        sparseLinks(PROCESSES, chords = 1, Random(seed)),
        rules,
        heartbeats,
    )
    private val random = run.random
    private var revision = 1L
    private var mode = Service.UP
    private var variants = 1
    private var stoppedProcess: Int? = null
    private var killReaderOf: Long? = null
    private var killAfterAcceptance = false

    fun run(): ConfigurationRun {
        run.service = { servedTables() }
        run.onRead = { process, read ->
            if (!killAfterAcceptance) killReader(process, read, random.nextLong(1, 20))
        }
        run.onActivation = { process, accepted ->
            if (killAfterAcceptance) killReader(process, accepted, 0)
        }
        repeat(PROCESSES) { process -> run.at(random.nextLong(500)) { run.start(process) } }
        var time = 15_000L
        while (time < FAULTS_END_MILLISECONDS) {
            run.at(time) { injectChangeOrFault() }
            time += random.nextLong(1_000, 12_000)
        }
        run.at(FAULTS_END_MILLISECONDS) {
            run.block { _, _ -> false }
            if (seed % 4 < 2) mode = Service.DOWN
        }
        run.runUntil(END_MILLISECONDS)
        return run
    }

    private fun servedTables(): Tables? {
        val number = when (mode) {
            Service.UP -> revision
            Service.DOWN -> return null
            Service.STALE -> maxOf(1, revision - 2)
            Service.FLAPPING -> maxOf(1, revision - random.nextLong(2))
        }
        return tables(number, if (number == revision) random.nextInt(variants) else 0)
    }

    private fun injectChangeOrFault() {
        when (random.nextInt(9)) {
            0, 1 -> edit()
            2 -> editTwice()
            3 -> mode = Service.entries.random(random)
            4 -> kill(random.nextInt(PROCESSES), random.nextLong(1_000, 15_000))
            5 -> {
                mode = Service.DOWN
                kill(random.nextInt(PROCESSES), 3_000)
            }
            6 -> editAndKillReader()
            else -> if (seed % 2 == 0L) editWithTwoContents() else partition()
        }
    }

    private fun edit() {
        revision++
        variants = 1
    }

    /** Publishes the edits of two operators within 3 s. */
    private fun editTwice() {
        edit()
        run.at(run.now + random.nextLong(3_000)) { edit() }
    }

    private fun editWithTwoContents() {
        edit()
        variants = 2
        mode = Service.UP
    }

    private fun editAndKillReader() {
        edit()
        mode = Service.UP
        killReaderOf = revision
        killAfterAcceptance = random.nextBoolean()
    }

    private fun killReader(process: Int, read: Long, delay: Long) {
        if (read != killReaderOf) return
        killReaderOf = null
        mode = Service.DOWN
        run.at(run.now + delay) { kill(process, 5_000) }
    }

    /** Stops [process] unless another one is down, because two could split the sparse network. */
    private fun kill(process: Int, downFor: Long) {
        if (stoppedProcess != null) return
        stoppedProcess = process
        run.kill(process)
        run.at(run.now + downFor) {
            stoppedProcess = null
            run.start(process)
        }
    }

    private fun partition() {
        val isolated = random.nextInt(3)
        run.block { a, b -> (a % 3 == isolated) != (b % 3 == isolated) }
        run.at(run.now + random.nextLong(3_000, 20_000)) { run.block { _, _ -> false } }
    }
}
