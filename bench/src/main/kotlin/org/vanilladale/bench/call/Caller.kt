package org.vanilladale.bench.call

import org.vanilladale.schema.RefusalAnswer
import org.vanilladale.schema.RunState

/**
 * Sends a request through the entries until it has a whole answer or a final refusal.
 *
 * A repeat carries the same key and, for a bound request, the same binding, so that it reaches the
 * ledger that knows whether the request ran.
 */
internal class Caller(private val known: List<String>, private val client: EntryClient) {
    private val answer = AnswerReassembly()
    private var entry: String? = null
    private var target: String? = null
    private var attempts = 0

    fun run(call: CallRequest): CallResult {
        val start = System.nanoTime()
        var binding: String? = null
        while (true) {
            val address = nextEntry()
            entry = address
            var result: StreamResult = StreamResult.Whole
            if (call.bound && binding == null) {
                val (bound, text) = client.bind(address, call)
                result = bound
                binding = text
            }
            if (result == StreamResult.Whole) {
                attempts += 1
                result = client.send(address, call, binding, target, answer) { target = it }
            }
            val elapsed = (System.nanoTime() - start) / NANOSECONDS
            if (elapsed >= call.waitMilliseconds || !repeats(call, result)) {
                return report(call, result, elapsed)
            }
            Thread.sleep(PAUSE_MILLISECONDS)
        }
    }

    /** Returns another entry than the last one when there is one. */
    private fun nextEntry(): String {
        val listed = known.firstNotNullOfOrNull { asked ->
            client.entries(asked).takeIf { it.isNotEmpty() }
        }
        val candidates = (listed.orEmpty() + known).distinct()
        return candidates.firstOrNull { it != entry } ?: candidates.first()
    }

    private fun repeats(call: CallRequest, result: StreamResult): Boolean = when (result) {
        StreamResult.Whole, StreamResult.Unavailable -> false

        is StreamResult.Refused -> repeats(call, result.refusal, result.status)

        is StreamResult.ConnectionFailed -> true

        is StreamResult.Damaged -> {
            // Text that doesn't fit can't be continued; an idempotent answer starts again.
            answer.restart()
            target = null
            !call.bound
        }
    }

    /** A refused request that may have run is repeated only when running twice does no harm. */
    private fun repeats(call: CallRequest, refusal: RefusalAnswer, status: Int): Boolean =
        status !in PERMANENT_STATUSES && (refusal.run == RunState.NO || !call.bound)

    private fun report(call: CallRequest, result: StreamResult, milliseconds: Long): CallResult {
        val refusal = (result as? StreamResult.Refused)?.refusal
        val found = when (result) {
            is StreamResult.Damaged -> result.found
            is StreamResult.ConnectionFailed -> result.found
            StreamResult.Unavailable -> "$entry has no such endpoint"
            else -> null
        }
        return CallResult(
            outcome = outcome(call, result).code,
            kind = call.kind,
            key = call.key,
            entry = entry,
            target = target,
            attempts = attempts,
            milliseconds = milliseconds,
            text = answer.text,
            refusal = refusal,
            found = found,
        )
    }

    private fun outcome(call: CallRequest, result: StreamResult): CallOutcome = when (result) {
        StreamResult.Whole -> CallOutcome.WHOLE

        StreamResult.Unavailable ->
            if (call.bound) CallOutcome.NO_BINDINGS else CallOutcome.UNREACHABLE

        is StreamResult.Damaged -> CallOutcome.DAMAGED

        is StreamResult.Refused ->
            if (result.refusal.run == RunState.NO) CallOutcome.REFUSED else CallOutcome.UNKNOWN

        is StreamResult.ConnectionFailed ->
            if (call.bound && attempts > 0) CallOutcome.UNKNOWN else CallOutcome.UNREACHABLE
    }

    private companion object {
        const val NANOSECONDS = 1_000_000L
        const val PAUSE_MILLISECONDS = 200L

        /** Statuses of refusals that another entry would give as well. */
        val PERMANENT_STATUSES = setOf(400, 401, 404, 409, 413, 422, 428)
    }
}
