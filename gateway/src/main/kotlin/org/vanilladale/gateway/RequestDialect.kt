package org.vanilladale.gateway

import arrow.core.Either
import io.vertx.core.MultiMap
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpServerRequest
import org.vanilladale.core.gateway.CallerRequestId
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.Timestamp

/**
 * Conversion between HTTP messages and the types of this module, for the protocols of callers and
 * targets.
 *
 * @property readRequestHead reads the head of a caller's request, given its time of arrival
 * @property createTargetHeaders returns all headers of the request to a target
 * @property readAnswerHead reads the head of a target's answer to the request with the given id,
 *   given the time at which it came
 * @property createAnswerHeaders returns the headers of a target's answer that the caller receives
 * @property createRefusalHeaders returns the headers of a refusal
 */
public class RequestDialect(
    public val readRequestHead: (HttpServerRequest, Timestamp) -> Either<Refusal, CallerHead>,
    public val createTargetHeaders: (ForwardedHead) -> MultiMap,
    public val readAnswerHead: (HttpClientResponse, CallerRequestId, Timestamp) -> TargetHead,
    public val createAnswerHeaders: (MultiMap) -> MultiMap,
    public val createRefusalHeaders: (Refusal, CallerRequestId?, Timestamp) -> MultiMap,
)
