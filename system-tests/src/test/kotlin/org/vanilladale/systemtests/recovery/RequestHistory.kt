package org.vanilladale.systemtests.recovery

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicLong

/** Kinds of the load, named as in the table of routes. */
enum class LoadKind(val text: String) { LOOKUP("stock"), STREAM("draft"), ORDER("order") }

/**
 * One request that a caller sends, with the key that names its executions.
 *
 * @property wish what the caller wants; several requests can stand for it one after the other
 */
data class Sent(val number: Long, val kind: LoadKind, val wish: String, val key: String)

/** What happened to a request at a caller, in milliseconds since the start of the history. */
sealed interface HistoryEvent {
    val sent: Sent
    val at: Long

    /** The request goes to [entry]. */
    data class Invoke(override val sent: Sent, override val at: Long, val entry: String) :
        HistoryEvent

    /** The first piece of the answer is here. */
    data class FirstPiece(override val sent: Sent, override val at: Long) : HistoryEvent

    /** The answer is here to its end; [isRight] is false when it isn't the one asked for. */
    data class Return(override val sent: Sent, override val at: Long, val isRight: Boolean) :
        HistoryEvent

    /** The request is refused and was not run. */
    data class Refused(override val sent: Sent, override val at: Long, val reason: String) :
        HistoryEvent

    /** The request ended in another way, also in the middle of an answer. */
    data class Unknown(override val sent: Sent, override val at: Long, val reason: String) :
        HistoryEvent
}

/** Collects the events of all callers; [HistoryCheck] judges them after the run. */
class RequestHistory {
    private val startedAt = System.nanoTime()
    private val numbers = AtomicLong()
    private val collected = ConcurrentLinkedQueue<HistoryEvent>()

    val events: List<HistoryEvent> get() = collected.toList()

    /** Milliseconds since the start of the history. */
    fun now(): Long = (System.nanoTime() - startedAt) / NANOSECONDS_PER_MILLISECOND

    fun newSent(kind: LoadKind, wish: String, key: String): Sent =
        Sent(numbers.incrementAndGet(), kind, wish, key)

    fun add(event: HistoryEvent) {
        collected += event
    }

    private companion object {
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000
    }
}
