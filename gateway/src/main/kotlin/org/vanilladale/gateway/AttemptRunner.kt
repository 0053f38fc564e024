package org.vanilladale.gateway

import arrow.core.getOrElse
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientResponse
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.vanilladale.core.admission.BufferBudget
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.gateway.PriorityMix
import org.vanilladale.core.retry.AttemptEnd
import org.vanilladale.core.stream.EventSplitter
import org.vanilladale.core.stream.StreamEvent
import org.vanilladale.schema.Timestamp

/**
 * Runs one attempt at one target and relays its answer to the caller.
 *
 * @param buffers memory for the plain answers of all attempts
 * @param onHead called for the head of each answer
 * @param onFirstEvent called for the first event of each attempt
 * @param onGap called for the pause before each further event
 */
internal class AttemptRunner(
    private val client: HttpClient,
    private val probe: TargetProbe,
    private val dialect: RequestDialect,
    private val timeouts: AttemptTimeouts,
    private val buffers: BufferBudget,
    private val clock: () -> Timestamp,
    private val onHead: (ForwardedRequest, KnownTarget, TargetHead) -> Unit,
    private val onFirstEvent: (ForwardedRequest) -> Unit,
    private val onGap: (ForwardedRequest, KnownTarget, Long) -> Unit,
) {
    /**
     * Runs an attempt. A target that is silent is reported to [coordination]; the attempt goes on
     * until the request's deadline.
     */
    suspend fun run(
        request: ForwardedRequest,
        target: KnownTarget,
        coordination: AttemptCoordination,
        answer: CallerAnswer,
    ): AttemptResult = coroutineScope {
        val exchange =
            TargetExchange.connectOrNull(client, target.address, request.method, request.uri)
                ?: return@coroutineScope AttemptResult.Failed(AttemptEnd.NOT_SENT, "no connection")
        val watch = if (request.route.repeat.mayRunAgain) {
            SilenceWatch(this, clock, coordination.onSilent)
        } else {
            null
        }
        val attempt = AttemptExchange(request, target, exchange, watch, coordination)
        try {
            val timeLeft = timeouts.timeLeft(request)
            withTimeoutOrNull(timeLeft) { exchangeWithTarget(attempt, answer) }
                ?: AttemptResult.Failed(
                    AttemptEnd.SILENT,
                    "no whole answer within $timeLeft ms",
                    isTargetWell = attempt.isWriting,
                )
        } catch (broken: TargetExchangeException) {
            // A target that only lost the answer still accepts connections.
            val isCrash = !attempt.hasEvents && !probe.isListening(target.address)
            AttemptResult.Failed(AttemptEnd.BROKEN, broken.message.orEmpty(), isCrash = isCrash)
        } finally {
            watch?.close()
            exchange.close()
        }
    }

    private class AttemptExchange(
        val request: ForwardedRequest,
        val target: KnownTarget,
        val exchange: TargetExchange,
        val watch: SilenceWatch?,
        val coordination: AttemptCoordination,
    ) {
        /** True once the attempt has brought an event that the caller did not have. */
        var hasEvents = false

        /** True while the attempt waits for the caller. */
        var isWriting = false
            private set

        /** Ends the other attempts, and the watch on a target that has given its whole answer. */
        fun claimAnswer() {
            watch?.close()
            coordination.claim()
            isWriting = true
        }

        suspend fun write(block: suspend () -> Unit) {
            isWriting = true
            if (watch == null) block() else watch.pauseWhile(block)
            isWriting = false
        }
    }

    private suspend fun exchangeWithTarget(
        attempt: AttemptExchange,
        answer: CallerAnswer,
    ): AttemptResult {
        val request = attempt.request
        attempt.exchange.send(headersFor(request, attempt.target), request.body)
        attempt.watch?.expect("no answer", timeouts.firstAnswer(request))
        return handleResponse(attempt, attempt.exchange.head(), answer)
    }

    private fun headersFor(request: ForwardedRequest, target: KnownTarget) =
        dialect.createTargetHeaders(
            ForwardedHead(
                request.headers,
                request.head.request,
                target.id,
                request.workspace?.id,
                request.deadline.millisecondsLeft(clock()),
                request.progress?.lastEvent,
                request.priority.takeIf { request.statesPriority }?.let(PriorityMix::levelOf),
            ),
        )

    private suspend fun handleResponse(
        attempt: AttemptExchange,
        response: HttpClientResponse,
        answer: CallerAnswer,
    ): AttemptResult {
        val progress = attempt.request.progress
        val head = dialect.readAnswerHead(response, attempt.request.head.request, clock())
        onHead(attempt.request, attempt.target, head)
        return faultOrNull(head) ?: when {
            head.isSuccess && head.isOtherMedia && answer.isStarted ->
                AttemptResult.Failed(AttemptEnd.BROKEN, "no stream in answer to a resume")

            head.isSuccess && progress != null -> relay(attempt, response, progress, answer)

            progress != null && answer.isStarted -> {
                AttemptResult.Failed(AttemptEnd.FAILED, "status ${head.status} to a resume")
            }

            else -> receiveFull(attempt, response, head, answer)
        }
    }

    /** Returns the failure of an attempt whose answer has [head], or null if it may be used. */
    private fun faultOrNull(head: TargetHead): AttemptResult.Failed? = when {
        !head.hasValidStatus ->
            AttemptResult.Failed(AttemptEnd.BROKEN, "status ${head.status} is none of HTTP")

        // Nothing in the answer to another request, such as "not run", holds for this one.
        head.namesOtherRequest ->
            AttemptResult.Failed(AttemptEnd.BROKEN, "the answer to another request")

        head.isOtherTarget -> AttemptResult.Failed(AttemptEnd.WRONG_TARGET, "another target")

        head.isNotRun -> AttemptResult.Failed(
            AttemptEnd.REJECTED,
            "status ${head.status}",
            isTargetWell = head.pauseEnd != null,
        )

        !head.echoesRequest || head.isEncoded ->
            AttemptResult.Failed(AttemptEnd.BROKEN, "not the answer to this request")

        head.isSuccess && !head.isSigned ->
            AttemptResult.Failed(AttemptEnd.BROKEN, "success without a signature")

        else -> null
    }

    private suspend fun receiveFull(
        attempt: AttemptExchange,
        response: HttpClientResponse,
        head: TargetHead,
        answer: CallerAnswer,
    ): AttemptResult {
        val body = Buffer.buffer()
        try {
            readBody(attempt, body)?.let { return it }
            return deliverFull(attempt, response, head, body, answer)
        } finally {
            buffers.release(body.length().toLong())
        }
    }

    /** Appends the whole body of an answer to [body]. Returns the failure, or null. */
    private suspend fun readBody(attempt: AttemptExchange, body: Buffer): AttemptResult.Failed? {
        attempt.watch?.expect("no complete body", timeouts.body(attempt.request))
        while (true) {
            val bytes = attempt.exchange.nextOrNull() ?: return null
            if (body.length() + bytes.length() > MAX_BODY_BYTES) {
                return AttemptResult.Failed(AttemptEnd.BROKEN, "body over $MAX_BODY_BYTES bytes")
            }
            if (!buffers.tryTake(bytes.length().toLong())) {
                return AttemptResult.Failed(AttemptEnd.BROKEN, "answers fill the memory for them")
            }
            body.appendBuffer(bytes)
        }
    }

    private suspend fun deliverFull(
        attempt: AttemptExchange,
        response: HttpClientResponse,
        head: TargetHead,
        body: Buffer,
        answer: CallerAnswer,
    ): AttemptResult {
        val buffered =
            BufferedAnswer(head.status, dialect.createAnswerHeaders(response.headers()), body)
        if (head.isFailure || !head.isSigned) {
            val signedAnswer = buffered.takeIf { head.isSigned }
            return AttemptResult.Failed(AttemptEnd.FAILED, "status ${head.status}", signedAnswer)
        }
        attempt.claimAnswer()
        answer.write(buffered.status, buffered.headers, buffered.body)
        return AttemptResult.Delivered(buffered.status)
    }

    private suspend fun relay(
        attempt: AttemptExchange,
        response: HttpClientResponse,
        progress: StreamProgress,
        answer: CallerAnswer,
    ): AttemptResult {
        val splitter = EventSplitter()
        val relay = EventRelay(attempt, response, progress, answer)
        attempt.watch?.expect("no event", timeouts.firstAnswer(attempt.request))
        while (true) {
            val bytes = attempt.exchange.nextOrNull() ?: break
            val events = splitter.feed(bytes.bytes).getOrElse {
                return AttemptResult.Failed(
                    AttemptEnd.BROKEN,
                    "event or comments over ${it.limit} bytes",
                )
            }
            relay.deliver(events)
        }
        if (splitter.hasPartialEvent) {
            return AttemptResult.Failed(AttemptEnd.BROKEN, "stream ended within an event")
        }
        attempt.claimAnswer()
        relay.startAnswer()
        answer.end()
        return AttemptResult.Delivered(response.statusCode())
    }

    /** Passes the events of one attempt on to the caller. */
    private inner class EventRelay(
        private val attempt: AttemptExchange,
        private val response: HttpClientResponse,
        private val progress: StreamProgress,
        private val answer: CallerAnswer,
    ) {
        fun startAnswer() {
            if (answer.isStarted) return
            answer.start(response.statusCode(), dialect.createAnswerHeaders(response.headers()))
        }

        /** Writes [events], which arrived together, in one piece. */
        suspend fun deliver(events: List<StreamEvent>) {
            val hasProgress = events.any { !it.isComment && !isRepeated(it.id, progress) }
            if (hasProgress) {
                attempt.coordination.claim()
            } else if (!attempt.coordination.isAlone()) {
                // The answer has the head of the target whose events it has.
                return
            }
            val part = Buffer.buffer()
            events.forEach { event ->
                if (isRepeated(event.id, progress)) return@forEach
                if (!event.isComment) recordProgress(event)
                part.appendBytes(event.bytes)
            }
            if (part.length() == 0) return
            startAnswer()
            attempt.write { answer.writePart(part) }
            // Only a complete event with data counts, or a byte now and then would keep a stalled
            // stream alive.
            if (hasProgress) {
                attempt.watch?.expect("no event", timeouts.nextEvent(attempt.request))
            }
        }

        private fun recordProgress(event: StreamEvent) {
            val gap = progress.recordEvent(event.id, clock())
            if (!attempt.hasEvents) onFirstEvent(attempt.request)
            // The pause before the first event of an attempt does not reflect the duration of
            // the target's passes.
            if (gap != null && attempt.hasEvents) onGap(attempt.request, attempt.target, gap)
            attempt.hasEvents = true
        }
    }

    private fun isRepeated(id: Long?, progress: StreamProgress): Boolean {
        val last = progress.lastEvent ?: return false
        return id != null && id <= last
    }

    private companion object {
        /** Bounds the memory of an entry. Answers of plain services have a few KB. */
        const val MAX_BODY_BYTES = 8 shl 20
    }
}
