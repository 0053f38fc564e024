package org.vanilladale.core.admission

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.WorkspaceId

/**
 * A request that waits at an agent.
 *
 * @property key unique identifier of the request in its queue
 * @property priority from 0 (lowest) to 9 (highest)
 */
public data class QueuedRequest<K : Any>(
    val key: K,
    val workspace: WorkspaceId,
    val priority: Int,
    val deadline: Deadline,
)

/**
 * Result of [FairQueue.poll].
 *
 * @property next request to run now; null if the queue is empty
 * @property shed requests that were removed because they would miss their deadlines
 */
public data class PollResult<K : Any>(val next: QueuedRequest<K>?, val shed: List<QueuedRequest<K>>)

/**
 * Bounded request queue of an agent. Not thread-safe; callers synchronize access.
 *
 * Requests with the highest priority are taken first. To prevent starvation, a priority with
 * waiting requests is passed over at most [maximumPassedOver] times in a row, plus once for each
 * other priority that has waited as long. Within a priority the workspaces take turns. If the queue
 * is full, the newest request of the workspace with the most waiting requests is displaced. The
 * offered request itself is refused if its workspace would have the most.
 *
 * @param newestFirst whether the newest request of a workspace is taken first. Under a load above
 *   the capacity the oldest requests are late or almost late, and running them first makes all
 *   other requests late as well
 */
public class FairQueue<K : Any>(
    private val capacity: Int,
    private val maximumPassedOver: Int = DEFAULT_MAXIMUM_PASSED_OVER,
    private val newestFirst: Boolean = false,
) {
    private class PriorityLevel<K : Any> {
        // The workspaces are in the order of their turns, with the next one first.
        val byWorkspace = LinkedHashMap<WorkspaceId, ArrayDeque<QueuedRequest<K>>>()
        var passedOver = 0
    }

    private val levels = List(PRIORITIES) { PriorityLevel<K>() }
    private val byKey = LinkedHashMap<K, QueuedRequest<K>>()
    private val lengths = HashMap<WorkspaceId, Int>()

    init {
        require(capacity >= 0) { "The queue capacity must not be negative; found $capacity" }
    }

    /** Keys of the waiting requests. */
    public val keys: List<K> get() = byKey.keys.toList()

    /** Number of waiting requests. */
    public val size: Int get() = byKey.size

    /** Highest priority of a waiting request, or null if none waits. */
    public val highestPriorityOrNull: Int?
        get() = levels.indexOfLast { it.byWorkspace.isNotEmpty() }.takeIf { it >= 0 }

    /** Returns the number of waiting requests of [priority]. */
    public fun sizeAt(priority: Int): Int = levels[priority].byWorkspace.values.sumOf { it.size }

    /** Returns the request of [priority] that has waited longest, or null if none waits. */
    public fun oldestOrNull(priority: Int): QueuedRequest<K>? =
        byKey.values.firstOrNull { it.priority == priority }

    /** Returns the number of waiting requests of [workspace]. */
    public fun sizeOf(workspace: WorkspaceId): Int = lengths[workspace] ?: 0

    /**
     * Adds [request] to the queue.
     *
     * @return the displaced request, or null if the queue had space; on the left, the refusal of
     * [request] itself with `target-overloaded`
     * @throws IllegalArgumentException if a request with the same key waits already or the priority
     * is out of range
     */
    public fun offer(request: QueuedRequest<K>): Either<Refusal, QueuedRequest<K>?> {
        require(request.key !in byKey) { "Request ${request.key} waits already; remove it first" }
        require(request.priority in levels.indices) { "Priority ${request.priority} is not 0 to 9" }
        var displaced: QueuedRequest<K>? = null
        if (size >= capacity) {
            val longest = lengths.maxByOrNull { it.value }
            if (longest == null || sizeOf(request.workspace) + 1 >= longest.value) {
                return Refusal(
                    RefusalReason.TARGET_OVERLOADED,
                    detail = "$size requests wait",
                ).left()
            }
            displaced = byKey.values.last { it.workspace == longest.key }
            remove(displaced.key)
        }
        levels[request.priority].byWorkspace.getOrPut(request.workspace) { ArrayDeque(1) } +=
            request
        byKey[request.key] = request
        lengths.merge(request.workspace, 1, Int::plus)
        return displaced.right()
    }

    /**
     * Removes and returns the request [key], for example after a cancel; null if it is not queued.
     */
    public fun remove(key: K): QueuedRequest<K>? {
        val request = byKey.remove(key) ?: return null
        val byWorkspace = levels[request.priority].byWorkspace
        val waiting = byWorkspace.getValue(request.workspace)
        waiting.removeAt(waiting.indexOfLast { it.key == key })
        if (waiting.isEmpty()) byWorkspace.remove(request.workspace)
        lengths.computeIfPresent(request.workspace) { _, length -> (length - 1).takeIf { it > 0 } }
        return request
    }

    /**
     * Removes the next request whose deadline is more than [neededMilliseconds] away. The result
     * also contains the requests before it, which are removed because they would miss their
     * deadlines.
     */
    public fun poll(now: Timestamp, neededMilliseconds: Long = 0): PollResult<K> {
        val shed = ArrayList<QueuedRequest<K>>(0)
        while (true) {
            val level = nextLevel() ?: return PollResult(null, shed)
            val request = takeFirst(level)
            if (request.deadline.millisecondsLeft(now) > neededMilliseconds) {
                countPassedOver(level)
                return PollResult(request, shed)
            }
            shed += request
        }
    }

    private fun nextLevel(): PriorityLevel<K>? {
        val waiting = levels.asReversed().filter { it.byWorkspace.isNotEmpty() }
        return waiting.filter { it.passedOver >= maximumPassedOver }.maxByOrNull { it.passedOver }
            ?: waiting.firstOrNull()
    }

    private fun takeFirst(level: PriorityLevel<K>): QueuedRequest<K> {
        val (workspace, waiting) = level.byWorkspace.entries.first()
        level.byWorkspace.remove(workspace)
        val request = if (newestFirst) waiting.removeLast() else waiting.removeFirst()
        if (waiting.isNotEmpty()) level.byWorkspace[workspace] = waiting
        byKey.remove(request.key)
        lengths.computeIfPresent(workspace) { _, length -> (length - 1).takeIf { it > 0 } }
        return request
    }

    private fun countPassedOver(taken: PriorityLevel<K>) {
        for (level in levels) {
            level.passedOver =
                if (level === taken || level.byWorkspace.isEmpty()) 0 else level.passedOver + 1
        }
    }

    private companion object {
        const val PRIORITIES = 10
        const val DEFAULT_MAXIMUM_PASSED_OVER = 8
    }
}
