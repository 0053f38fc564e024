package org.vanilladale.gateway

import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.core.shard.Locked
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Records what targets say of themselves in their answers. Thread-safe.
 *
 * @param onPause called when a target of the request's pool wants no requests until a deadline
 */
internal class StatementWatch(
    private val directory: Locked<TargetDirectory>,
    private val log: GatewayLog,
    private val metrics: GatewayMetrics,
    private val clock: () -> Timestamp,
    private val onPause: (ForwardedRequest, Deadline) -> Unit,
) {
    /** Records what [target] says in the [head] of its answer to [request]. */
    fun recordHead(request: ForwardedRequest, target: KnownTarget, head: TargetHead) {
        head.oddStatements.forEach { log(request, target, "odd", it, null) }
        if (!head.speaksForTarget) return
        val now = clock()
        if (head.isLeaving && directory.use { it.recordLeaving(target) }) {
            log(request, target, "leaving", null, null)
        }
        val pauseEnd = head.pauseEnd
        if (pauseEnd == null) {
            directory.use { it.recordAnswer(target, now) }
        } else {
            directory.use { it.recordPause(target, pauseEnd) }
            log(request, target, "pause", null, pauseEnd.millisecondsLeft(now))
            onPause(request, pauseEnd)
        }
    }

    private fun log(
        request: ForwardedRequest,
        target: KnownTarget,
        statement: String,
        detail: String?,
        pauseMilliseconds: Long?,
    ) {
        metrics.counters.event("target-says-$statement")
        val id = request.head.request.text
        log.log(
            GatewayEvent.TargetStatement(target.id.text, statement, id, detail, pauseMilliseconds),
        )
    }
}
