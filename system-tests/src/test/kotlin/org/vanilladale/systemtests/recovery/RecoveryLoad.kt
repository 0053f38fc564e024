package org.vanilladale.systemtests.recovery

import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.random.Random
import org.vanilladale.standins.AnswerTokens

/**
 * Callers of lookups, streams and orders that run until [stop], each with its own seed.
 *
 * A caller repeats through other entries until it has its whole answer or its patience ends: a
 * stream from the text that it holds, an order with its binding, and a refused order that was not
 * run with a new key and binding.
 */
class RecoveryLoad(
    private val history: RequestHistory,
    private val seeds: List<String>,
    private val seed: Long,
    private val tokens: Int,
) {
    private class Caller(
        val name: String,
        val caller: RecoveryCaller,
        val entries: KnownEntries,
        val random: Random,
    )

    private val threads = mutableListOf<Thread>()
    private val callers = CopyOnWriteArrayList<Caller>()

    @Volatile
    private var running = true

    /** Starts [count] callers of [kind] in each data centre; each pauses about [pause] ms. */
    fun start(kind: LoadKind, dataCentres: List<String>, count: Int, pause: Long) {
        dataCentres.forEach { dataCentre ->
            repeat(count) { number ->
                val name = "${kind.text}-$dataCentre-$number"
                val random = Random(seed * SEED_FACTOR + name.hashCode())
                val caller = RecoveryCaller("workspace-$number")
                val known = KnownEntries(caller, dataCentre, seeds, random)
                val each = Caller(name, caller, known, random).also { callers += it }
                threads += thread(name = name) { each.run(kind, pause) }
            }
        }
    }

    /** Ends after the requests in flight. */
    fun stop() {
        running = false
        threads.forEach { it.join() }
    }

    /** Addresses in the lists that callers keep now. */
    fun knownEntries(): Set<String> = callers.flatMap { it.entries.addresses }.toSet()

    private fun Caller.run(kind: LoadKind, pause: Long) {
        var number = 0
        while (running) {
            val wish = "$name-${number++}"
            if (kind == LoadKind.ORDER) order(wish) else repeatable(kind, wish)
            Thread.sleep(pause / 2 + random.nextLong(pause))
        }
    }

    private fun Caller.repeatable(kind: LoadKind, wish: String) {
        val held = StringBuilder()
        val patience = history.now() + PATIENCE_MILLISECONDS
        do {
            val entry = entries.next()
            val sent = history.newSent(kind, wish, wish)
            val end = recorded(sent, entry) { onPiece ->
                caller.send(entry, kind.text, wish, held, onPiece = onPiece)
            }
            if (end is CallEnd.Whole) return
            failed(entry, end)
        } while (history.now() < patience)
    }

    private fun Caller.order(wish: String) {
        val patience = history.now() + PATIENCE_MILLISECONDS
        var tries = 0
        do {
            val key = "$wish.${tries++}"
            val binding = bindOrNull(wish, key, patience) ?: continue
            // Some callers hold their binding for a while, as a person at a counter does.
            if (random.nextInt(HELD_ONE_IN) == 0) Thread.sleep(random.nextLong(HELD_MILLISECONDS))
            val end = bound(wish, key, binding, patience)
            // Some callers lose the answer and ask again; the ledger repeats it.
            if (end is CallEnd.Whole && random.nextInt(REPEATED_ONE_IN) == 0) {
                bound(wish, key, binding, patience)
            }
            val wasNotRun = (end as? CallEnd.Refused)?.wasNotRun == true
            if (!wasNotRun) return
        } while (history.now() < patience)
    }

    private fun Caller.bindOrNull(wish: String, key: String, patience: Long): String? {
        while (history.now() < patience) {
            val entry = entries.next()
            when (val end = caller.bind(entry, LoadKind.ORDER.text, key)) {
                is CallEnd.Whole -> return end.text

                is CallEnd.Refused -> {
                    val sent = history.newSent(LoadKind.ORDER, wish, "$key unbound")
                    history.add(HistoryEvent.Refused(sent, history.now(), end.reason))
                    failed(entry, end)
                }

                is CallEnd.Lost -> failed(entry, end)
            }
        }
        return null
    }

    /** Repeats the order with its binding until it is answered, not run or given up. */
    private fun Caller.bound(wish: String, key: String, binding: String, patience: Long): CallEnd {
        var unknown = 0
        while (true) {
            val entry = entries.next()
            val sent = history.newSent(LoadKind.ORDER, wish, key)
            val end = recorded(sent, entry) { onPiece ->
                val held = StringBuilder()
                caller.send(entry, LoadKind.ORDER.text, key, held, binding, onPiece)
            }
            val refused = end as? CallEnd.Refused
            if (refused?.reason in UNKNOWN_REASONS) unknown++
            val isFinal = refused?.wasNotRun == true || unknown == UNKNOWN_TRIES
            if (end is CallEnd.Whole || isFinal || history.now() >= patience) return end
            failed(entry, end)
        }
    }

    private fun recorded(
        sent: Sent,
        entry: String,
        send: (onPiece: () -> Unit) -> CallEnd,
    ): CallEnd {
        history.add(HistoryEvent.Invoke(sent, history.now(), entry))
        var isFirst = true
        val end = send {
            if (isFirst) history.add(HistoryEvent.FirstPiece(sent, history.now()))
            isFirst = false
        }
        history.add(eventOf(sent, end))
        return end
    }

    private fun eventOf(sent: Sent, end: CallEnd): HistoryEvent {
        val now = history.now()
        return when (end) {
            is CallEnd.Whole -> HistoryEvent.Return(sent, now, isRight(sent, end.text))

            is CallEnd.Refused -> if (end.wasNotRun) {
                HistoryEvent.Refused(sent, now, end.reason)
            } else {
                HistoryEvent.Unknown(sent, now, end.reason)
            }

            is CallEnd.Lost -> HistoryEvent.Unknown(sent, now, "connection: ${end.found}")
        }
    }

    private fun isRight(sent: Sent, text: String): Boolean = when (sent.kind) {
        LoadKind.STREAM -> text == AnswerTokens.answer(sent.key.toByteArray(), tokens)
        else -> "/${sent.key}\"" in text
    }

    /** An entry that can't be reached or leaves is avoided for a while. */
    private fun Caller.failed(entry: String, end: CallEnd) {
        if (end is CallEnd.Lost || (end as CallEnd.Refused).reason == "leaving") {
            entries.failed(entry)
        }
        Thread.sleep(REPEAT_MILLISECONDS)
    }

    private companion object {
        const val PATIENCE_MILLISECONDS = 20_000L
        const val REPEAT_MILLISECONDS = 100L
        const val HELD_ONE_IN = 20
        const val HELD_MILLISECONDS = 1_500L
        const val REPEATED_ONE_IN = 10
        const val SEED_FACTOR = 1_000_003L

        /** An outcome that several entries call unknown is final to the caller. */
        const val UNKNOWN_TRIES = 3
        val UNKNOWN_REASONS = setOf("binding-lost", "outcome-unknown")
    }
}
