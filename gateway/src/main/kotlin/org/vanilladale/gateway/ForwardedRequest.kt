package org.vanilladale.gateway

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import org.vanilladale.core.gateway.GatewayPool
import org.vanilladale.core.gateway.GatewayRoute
import org.vanilladale.core.gateway.GatewayWorkspace
import org.vanilladale.core.hash.hexadecimalOf
import org.vanilladale.core.hash.sha256OfFields
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Fingerprint
import org.vanilladale.schema.RequestTrait
import org.vanilladale.schema.Revision
import org.vanilladale.schema.Timestamp

/**
 * Times of a request.
 *
 * @property arrivedAt time at which its head was received
 * @property deadline time at which the caller or the route gives up, whichever is earlier
 * @property firstAttemptAt estimated time of the caller's first attempt, which is earlier than
 *   [arrivedAt] if the caller returned after a refusal or a failure
 * @property receivedAt time at which the head or, once it is complete, the body was received
 */
internal data class RequestTimes(
    val arrivedAt: Timestamp,
    val deadline: Deadline,
    val firstAttemptAt: Timestamp = arrivedAt,
    val receivedAt: Timestamp = arrivedAt,
)

/**
 * A request that was received completely and may be forwarded.
 *
 * @property uri path and query as the caller sent them
 * @property tablesRevision revision of the configuration that admitted the request
 */
internal class ForwardedRequest(
    val head: CallerHead,
    val method: HttpMethod,
    val uri: String,
    val headers: MultiMap,
    val body: Buffer,
    val route: GatewayRoute,
    val pool: GatewayPool,
    val workspace: GatewayWorkspace?,
    val tablesRevision: Revision,
    val times: RequestTimes,
) {
    val arrivedAt: Timestamp get() = times.arrivedAt

    val deadline: Deadline get() = times.deadline

    /** Part of the stream that the caller has received, or null unless the route is a stream. */
    val progress: StreamProgress? =
        if (route.repeat.isStream) StreamProgress(head.resumeAfter) else null

    /** Number of attempts that were begun. */
    @Volatile
    var attempts = 0

    /** Time at which the first attempt was begun, or null before it. */
    var firstSentAt: Timestamp? = null

    /** True once the request may have reached a target. */
    val mayHaveRun: Boolean get() = attempts > 0

    /** True if targets are told the priority, because requests of other priorities compete. */
    @Volatile
    var statesPriority = false

    /** Traits by which the request is recognized if targets crash with it. */
    val traits: Set<RequestTrait> by lazy {
        val caller = workspace?.id?.text.orEmpty()
        val fields = listOf(caller, method.name(), uri).map { it.encodeToByteArray() } + body.bytes
        val content = Fingerprint.parse(hexadecimalOf(sha256OfFields(fields)))
        head.sharedParts.mapTo(LinkedHashSet(), RequestTrait::ofPart) +
            RequestTrait.ofContent(content)
    }

    /** Priority among waiting requests; 0 is the most urgent. */
    val priority: Int get() = workspace?.priority ?: route.priority
}
