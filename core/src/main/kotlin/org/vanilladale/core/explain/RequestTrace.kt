package org.vanilladale.core.explain

/**
 * Log lines of any number of processes that concern one request.
 *
 * @property lines lines of the request itself, ordered by time
 * @property relatedLines lines of other events that may have affected the request, ordered by time:
 *   state changes of the processes that handled it, failures and changes of its targets, and
 *   changes of rank groups, from [LOOKBACK_MILLISECONDS] before the first line of the request to
 *   its last line
 */
public class RequestTrace private constructor(
    public val lines: List<LogLine>,
    public val relatedLines: List<LogLine>,
) {
    public companion object {
        /**
         * Time before the first line of the request from which on other lines are included. A map
         * switch of a group and the loss of a peer are logged within this time.
         */
        public const val LOOKBACK_MILLISECONDS: Long = 3_000

        /** Kinds of lines about a process as a whole or its view of the other processes. */
        private val processKinds =
            setOf("started", "stopping", "reloaded", "store", "tables-in-force", "peer")

        /** Kinds of lines about rank groups, which are related whichever process wrote them. */
        private val groupKinds =
            setOf("expert-lead", "expert-demand", "map-switch", "group-recovered")

        /** Kinds of lines about a target. */
        private val targetKinds = setOf("target-changed", "attempt-failed")

        /** Returns the trace of [request] in [log], or null if no line names the request. */
        public fun fromLogOrNull(request: String, log: List<LogLine>): RequestTrace? {
            val own = log.filter { it.textOrNull("request") == request }.sortedBy { it.time }
            if (own.isEmpty()) return null
            val processes = own.mapTo(HashSet()) { it.vm }
            val targets = own.mapNotNullTo(HashSet()) { it.textOrNull("target") }
            val span = own.first().time - LOOKBACK_MILLISECONDS..own.last().time
            val related = log.filter { line ->
                line.time in span && line.textOrNull("request") != request &&
                    when (line.kind) {
                        in processKinds -> line.vm in processes
                        in groupKinds -> true
                        in targetKinds -> line.textOrNull("target") in targets
                        else -> false
                    }
            }
            return RequestTrace(own, related.sortedBy { it.time })
        }
    }
}
