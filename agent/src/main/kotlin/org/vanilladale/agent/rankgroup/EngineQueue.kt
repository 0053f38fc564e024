package org.vanilladale.agent.rankgroup

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.vanilladale.core.rankgroup.EngineCommand

/**
 * Sends the orders of one rank to its engine in sequence and reads the state back in between.
 *
 * A read-back never overlaps an order, because one from before the order would undo what the
 * member learned from its answer. Preloads run beside the sequence and only their end is in it.
 */
internal class EngineQueue(private val maps: EngineMaps, private val rank: RankState) {
    private sealed interface Job {
        class Order(val order: EngineCommand) : Job

        class Loaded(val order: EngineCommand) : Job

        data object Poll : Job
    }

    private val jobs = Channel<Job>(Channel.UNLIMITED)

    /** Last state of the engine. */
    @Volatile
    var status: EngineStatus? = null
        private set

    /** Last active map that was read from the engine; it may be older than [status]. */
    @Volatile
    var content: EngineContent? = null
        private set

    /** Queues [order]; never waits. */
    fun add(order: EngineCommand) {
        jobs.trySend(Job.Order(order))
    }

    fun start(scope: CoroutineScope, onPoll: (EngineStatus) -> Unit) {
        scope.launch {
            for (job in jobs) {
                when (job) {
                    is Job.Order -> start(scope, job.order)
                    is Job.Loaded -> rank.onOrderDone(job.order, readBack().readBack)
                    Job.Poll -> poll(onPoll)
                }
            }
        }
        scope.launch {
            while (isActive) {
                if (jobs.isEmpty) jobs.trySend(Job.Poll)
                val held = status?.readBack?.held != null
                delay(if (held) HELD_POLL_MILLISECONDS else POLL_MILLISECONDS)
            }
        }
    }

    private suspend fun poll(onPoll: (EngineStatus) -> Unit) {
        val read = readOrNull() ?: return
        rank.onReadBack(read.readBack)
        onPoll(read)
    }

    private suspend fun start(scope: CoroutineScope, order: EngineCommand) {
        if (order is EngineCommand.Preload) {
            scope.launch {
                send(order)
                jobs.send(Job.Loaded(order))
            }
        } else {
            send(order)
            rank.onOrderDone(order, readBack().readBack)
        }
    }

    /** The gate is asked before each try, because a higher term may have been promised. */
    private suspend fun send(order: EngineCommand) {
        while (rank.admits(order) && !maps.send(order)) delay(RETRY_MILLISECONDS)
    }

    /** Reads the state, and the active map when it is another than the last one read. */
    private suspend fun readOrNull(): EngineStatus? {
        val read = maps.readBack() ?: return null
        status = read
        if (content?.digest != read.readBack.activeDigest) {
            maps.content()?.let {
                content = it
                rank.learn(it)
            }
        }
        return read
    }

    private suspend fun readBack(): EngineStatus {
        while (true) {
            readOrNull()?.let { return it }
            delay(RETRY_MILLISECONDS)
        }
    }

    private companion object {
        const val POLL_MILLISECONDS = 250L

        /** A hold stops the whole group, so that its end is looked for more often. */
        const val HELD_POLL_MILLISECONDS = 100L
        const val RETRY_MILLISECONDS = 100L
    }
}
