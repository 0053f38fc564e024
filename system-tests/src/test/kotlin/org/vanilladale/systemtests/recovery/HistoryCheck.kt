package org.vanilladale.systemtests.recovery

/**
 * Judges a recorded history together with the executions that the services recorded.
 *
 * @param executions how often each request key ran
 */
class HistoryCheck(
    private val events: List<HistoryEvent>,
    private val executions: Map<String, Int>,
) {
    private val byWish = events.groupBy { it.sent.wish }

    /** How the last request of a wish ended for its caller. */
    private fun endOf(wish: String): HistoryEvent = byWish.getValue(wish).last()

    /** Contradictions between what callers were told and what ran. */
    fun contradictions(): List<String> = wrongAnswers() + wrongOrders()

    /** Wishes of [kind] whose caller got no whole answer in the end, with the last event. */
    fun unanswered(kind: LoadKind): List<HistoryEvent> = byWish.keys
        .filter { byWish.getValue(it).first().sent.kind == kind }
        .map(::endOf)
        .filter { it !is HistoryEvent.Return }

    /** Requests of [kind] that did not end with an answer at the first try, by reason. */
    fun failures(kind: LoadKind, during: LongRange = 0..Long.MAX_VALUE): Map<String, Int> = events
        .filter { it.sent.kind == kind && it.at in during }
        .mapNotNull {
            when (it) {
                is HistoryEvent.Refused -> it.reason
                is HistoryEvent.Unknown -> it.reason
                else -> null
            }
        }
        .groupingBy { it }.eachCount().toSortedMap()

    /** Number of requests of [kind] that were sent. */
    fun sent(kind: LoadKind, during: LongRange = 0..Long.MAX_VALUE): Int =
        events.count { it is HistoryEvent.Invoke && it.sent.kind == kind && it.at in during }

    /** Number of wishes of [kind]. */
    fun wishes(kind: LoadKind): Int = byWish.values.count { it.first().sent.kind == kind }

    /** Streams that lost their connection or were refused after their first piece. */
    fun interruptions(): Int = events.filter { it.sent.kind == LoadKind.STREAM }
        .groupBy { it.sent.number }.values
        .count { one ->
            one.any { it is HistoryEvent.FirstPiece } && one.last() !is HistoryEvent.Return
        }

    /** Milliseconds from sending to the first piece of each answer of [kind] in [during]. */
    fun firstPieces(kind: LoadKind, during: LongRange): List<Long> {
        val invoked = events.filterIsInstance<HistoryEvent.Invoke>()
            .associate { it.sent.number to it.at }
        return events.filterIsInstance<HistoryEvent.FirstPiece>()
            .filter { it.sent.kind == kind && it.at in during }
            .map { it.at - invoked.getValue(it.sent.number) }
    }

    /** Milliseconds from the first request to the end of each wish of [kind] begun in [during]. */
    fun waits(kind: LoadKind, during: LongRange): List<Long> = byWish.values
        .filter { it.first().sent.kind == kind && it.first().at in during }
        .map { it.last().at - it.first().at }

    /** Time of the last request of any kind in [during] that did not end with an answer. */
    fun lastFailureOrNull(during: LongRange): Long? = events
        .filter { it is HistoryEvent.Refused || it is HistoryEvent.Unknown }
        .map { it.at }.filter { it in during }.maxOrNull()

    /** Share of the wishes of [kind] whose outcome stays unknown to their callers. */
    fun unknownShare(kind: LoadKind): Double {
        val unknown = unanswered(kind).count { it is HistoryEvent.Unknown }
        return unknown.toDouble() / wishes(kind).coerceAtLeast(1)
    }

    private fun wrongAnswers() = events
        .filter { it is HistoryEvent.Return && !it.isRight }
        .map { "${it.sent.key} got an answer that it didn't ask for" }

    private fun wrongOrders(): List<String> {
        val orders = events.filter { it.sent.kind == LoadKind.ORDER }
        val keys = orders.groupBy { it.sent.key }
        val twice = byWish.filterValues { it.first().sent.kind == LoadKind.ORDER }
            .mapValues { (_, events) ->
                events.map { it.sent.key }.distinct().sumOf { executions[it] ?: 0 }
            }
            .filterValues { it > 1 }
            .map { (wish, count) -> "$wish ran $count times" }
        val falseNo = keys.filter { (key, all) ->
            executions[key] != null && all.any { it is HistoryEvent.Refused }
        }.map { "${it.key} was told that it was not run, but ran" }
        val falseAnswer = keys.filter { (key, all) ->
            executions[key] == null && all.any { it is HistoryEvent.Return }
        }.map { "${it.key} was answered, but not run" }
        return twice + falseNo + falseAnswer
    }
}
