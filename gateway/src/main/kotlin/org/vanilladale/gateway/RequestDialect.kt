package org.vanilladale.gateway

import arrow.core.Either
import io.vertx.core.MultiMap
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpServerRequest
import org.vanilladale.core.gateway.CallerRequestId
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.Timestamp

/**
 * How requests are spelled between callers, entries and targets.
 *
 * @property readCaller reads the head of a request that arrived at a time
 * @property writeTarget returns all headers of the request for a target
 * @property readTarget reads the head of the answer to a request
 * @property writeCaller returns the headers of a target's answer that the caller gets
 * @property writeRefusal returns the headers of a refusal
 */
public class RequestDialect(
    public val readCaller: (HttpServerRequest, Timestamp) -> Either<Refusal, CallerHead>,
    public val writeTarget: (ForwardedHead) -> MultiMap,
    public val readTarget: (HttpClientResponse, CallerRequestId) -> TargetHead,
    public val writeCaller: (MultiMap) -> MultiMap,
    public val writeRefusal: (Refusal, CallerRequestId?, Timestamp) -> MultiMap,
)
