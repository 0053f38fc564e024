package org.vanilladale.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import arrow.core.right
import kotlinx.coroutines.withTimeoutOrNull
import org.vanilladale.core.configuration.JoinedTables
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.runtime.ConfigurationHolder
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.schema.Answer
import org.vanilladale.schema.AnswerEnd
import org.vanilladale.schema.AnswerLine
import org.vanilladale.schema.Attempt
import org.vanilladale.schema.Cancel
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Pool
import org.vanilladale.schema.Refused
import org.vanilladale.schema.Route
import org.vanilladale.schema.Submit
import org.vanilladale.schema.Timestamp

/** Takes one request from its route to its whole answer. */
internal class RequestRunner(
    private val configuration: ConfigurationHolder,
    private val links: AgentLinks,
    private val counters: SystemCounters,
    private val clock: () -> Timestamp,
) {
    /** Runs [request] and writes its answer to [sink]; returns the refusal if there is none. */
    suspend fun run(request: CallerRequest, sink: AnswerSink): Refusal? = either {
        val tables = ensureNotNull(configuration.current) {
            Refusal(RefusalReason.NO_CONFIGURATION)
        }
        val route = ensureNotNull(tables.routeOrNull(request.head.kind)) {
            Refusal(RefusalReason.NO_ROUTE, detail = "kind '${request.head.kind}' has no route")
        }
        val deadline = deadlineOf(request, route)
        val link = ensureNotNull(chooseLink(tables.poolOf(route))) {
            Refusal(RefusalReason.NO_TARGET, detail = "pool '${route.pool}' has no live target")
        }
        attempt(request, route, deadline, link, sink).bind()
        counters.answered(route.kind.text)
    }.leftOrNull()

    private fun deadlineOf(request: CallerRequest, route: Route): Deadline {
        val latest = clock().deadlineAfter(route.deadlineMilliseconds)
        return minOf(request.head.deadline ?: latest, latest)
    }

    private fun chooseLink(pool: Pool): AgentLink? =
        pool.targets.mapNotNull { links.linkOrNull(it.target) }
            .filter { it.connection != null }
            .minByOrNull { it.inFlight }

    private suspend fun attempt(
        request: CallerRequest,
        route: Route,
        deadline: Deadline,
        link: AgentLink,
        sink: AnswerSink,
    ): Either<Refusal, Unit> {
        val open = link.open()
        var ended = false
        try {
            val submit = submit(request, route, deadline, open)
            if (link.connection?.send(submit) != true) {
                return Refusal(RefusalReason.NO_TARGET).left()
            }
            val result = withTimeoutOrNull(deadline.millisecondsLeft(clock())) {
                relay(open, link, sink)
            }
            ended = result != null
            return result ?: Refusal(RefusalReason.DEADLINE_PASSED).left()
        } finally {
            link.close(open)
            if (!ended) {
                val head = request.head
                link.connection?.trySend(Cancel(open.request, FIRST, head.workspace, head.key))
            }
        }
    }

    private suspend fun relay(
        open: AgentLink.OpenAttempt,
        link: AgentLink,
        sink: AnswerSink,
    ): Either<Refusal, Unit> {
        for (event in open.events) {
            when (event) {
                is AttemptEvent.Lost -> return Refusal(RefusalReason.ANSWER_INTERRUPTED).left()

                is AttemptEvent.Received -> when (val frame = event.frame) {
                    is Answer ->
                        sink.write(AnswerLine(frame.offset, frame.text), link.target.target)

                    is AnswerEnd -> {
                        val line = AnswerLine(
                            end = true,
                            length = frame.length,
                            digest = frame.digest.text,
                        )
                        sink.write(line, link.target.target)
                        return Unit.right()
                    }

                    is Refused -> return refusalOf(frame).left()

                    else -> counters.event("frame-unexpected")
                }
            }
        }
        return Refusal(RefusalReason.ANSWER_INTERRUPTED).left()
    }

    private fun refusalOf(frame: Refused): Refusal {
        val reason = RefusalReason.fromCodeOrNull(frame.reason) ?: RefusalReason.TARGET_FAILED
        return Refusal(reason, frame.run, retryAt = frame.retryAt)
    }

    private fun submit(
        request: CallerRequest,
        route: Route,
        deadline: Deadline,
        open: AgentLink.OpenAttempt,
    ) = Submit(
        request = open.request,
        attempt = FIRST,
        workspace = request.head.workspace,
        key = request.head.key,
        kind = request.head.kind,
        path = route.path,
        idempotent = route.idempotent,
        priority = route.priority,
        deadline = deadline,
        offset = request.head.offset,
        body = request.body,
        prefix = request.head.prefix,
        contentType = request.contentType,
    )

    private companion object {
        val FIRST = Attempt(1)
    }
}
