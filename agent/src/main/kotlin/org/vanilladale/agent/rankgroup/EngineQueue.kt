package org.vanilladale.agent.rankgroup

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.vanilladale.core.rankgroup.EngineCommand

/**
 * Sends the commands of one rank to its engine in sequence and reads the engine's state in between.
 *
 * A read-back never overlaps a command, because a state read before the command took effect would
 * overwrite the result of the command in the member. Preloads run concurrently with the sequence,
 * and only their completion is handled in it.
 */
internal class EngineQueue(private val mapClient: EngineMapClient, private val rank: RankState) {
    private sealed interface Job {
        class Command(val command: EngineCommand) : Job

        class Preloaded(val command: EngineCommand) : Job

        data object Poll : Job
    }

    private val jobs = Channel<Job>(Channel.UNLIMITED)

    /** Last state that was read from the engine; null before the first. */
    @Volatile
    var status: EngineStatus? = null
        private set

    /** Last active map that was read from the engine. It may be older than [status]. */
    @Volatile
    var activeMap: ActiveEngineMap? = null
        private set

    /** Adds [command] to the queue without waiting. */
    fun add(command: EngineCommand) {
        jobs.trySend(Job.Command(command))
    }

    /** Starts the sequence in [scope] and passes each state that a poll reads to [onPoll]. */
    fun start(scope: CoroutineScope, onPoll: (EngineStatus) -> Unit) {
        scope.launch {
            for (job in jobs) {
                when (job) {
                    is Job.Command -> execute(scope, job.command)
                    is Job.Preloaded -> rank.onCommandDone(job.command, readStatus().readBack)
                    Job.Poll -> poll(onPoll)
                }
            }
        }
        scope.launch {
            while (isActive) {
                if (jobs.isEmpty) jobs.trySend(Job.Poll)
                val held = status?.readBack?.held != null
                delay(if (held) HELD_POLL_INTERVAL_MILLISECONDS else POLL_INTERVAL_MILLISECONDS)
            }
        }
    }

    private suspend fun poll(onPoll: (EngineStatus) -> Unit) {
        val read = readStatusOrNull() ?: return
        rank.onReadBack(read.readBack)
        onPoll(read)
    }

    private suspend fun execute(scope: CoroutineScope, command: EngineCommand) {
        if (command is EngineCommand.Preload) {
            scope.launch {
                send(command)
                jobs.send(Job.Preloaded(command))
            }
        } else {
            send(command)
            rank.onCommandDone(command, readStatus().readBack)
        }
    }

    /**
     * Sends [command] until it succeeds or the gate rejects it. The gate is checked before each
     * attempt, because a higher term may have been promised in the meantime.
     */
    private suspend fun send(command: EngineCommand) {
        while (rank.admits(command) && !mapClient.send(command)) delay(RETRY_INTERVAL_MILLISECONDS)
    }

    /** Reads the state, and also the active map if it has changed since it was last read. */
    private suspend fun readStatusOrNull(): EngineStatus? {
        val read = mapClient.readBackOrNull() ?: return null
        status = read
        if (activeMap?.digest != read.readBack.activeDigest) {
            mapClient.readActiveMapOrNull()?.let {
                activeMap = it
                rank.storeMap(it)
            }
        }
        return read
    }

    private suspend fun readStatus(): EngineStatus {
        while (true) {
            readStatusOrNull()?.let { return it }
            delay(RETRY_INTERVAL_MILLISECONDS)
        }
    }

    private companion object {
        const val POLL_INTERVAL_MILLISECONDS = 250L

        /** Shorter than the usual interval, because a hold stops the whole group. */
        const val HELD_POLL_INTERVAL_MILLISECONDS = 100L
        const val RETRY_INTERVAL_MILLISECONDS = 100L
    }
}
