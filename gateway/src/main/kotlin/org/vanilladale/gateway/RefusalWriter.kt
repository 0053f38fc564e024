package org.vanilladale.gateway

import io.vertx.core.Future
import io.vertx.core.http.HttpServerRequest
import kotlinx.serialization.json.Json
import org.vanilladale.core.gateway.CallerRequestId
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.status
import org.vanilladale.schema.RefusalAnswer
import org.vanilladale.schema.Timestamp

/** Answers requests that the system refuses, and logs and counts the reasons. */
internal class RefusalWriter(
    private val dialect: RequestDialect,
    private val log: GatewayLog,
    private val metrics: GatewayMetrics,
    private val clock: () -> Timestamp,
) {
    /**
     * A refused request: its [id], if it has one, its time of arrival and the [revision] of the
     * configuration by which it was decided.
     */
    class Subject(val id: CallerRequestId?, val arrivedAt: Timestamp, val revision: Long?)

    /** Counts [refusal]. */
    fun count(refusal: Refusal) = metrics.counters.refused(refusal.reason)

    /** Answers [request] with [refusal]. Returns a future that completes once it is written. */
    fun write(request: HttpServerRequest, subject: Subject, refusal: Refusal): Future<Void> {
        val now = clock()
        log.log(
            GatewayEvent.Refused(
                subject.id?.text,
                refusal.reason.code,
                refusal.status,
                refusal.run.code,
                refusal.detail,
                refusal.retryAt?.millisecondsLeft(now),
                now.millisecondsSince(subject.arrivedAt),
                subject.revision,
            ),
        )
        val response = request.response().setStatusCode(refusal.status)
        response.headers().addAll(dialect.createRefusalHeaders(refusal, subject.id, now))
        response.putHeader("content-type", "application/json")
        // Otherwise the rest of an unread body would be taken for the next request.
        if (!request.isEnded) response.putHeader("connection", "close")
        val reason = refusal.reason
        val answer = RefusalAnswer(reason.code, refusal.run, reason.remedy, refusal.retryAt)
        return response.end(Json.encodeToString(RefusalAnswer.serializer(), answer))
    }
}
