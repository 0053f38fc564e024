package org.vanilladale.core.explain

/**
 * What the logs of any number of processes tell of one request.
 *
 * @property lines lines of the request itself, in the order of time
 * @property relatedLines what its processes came to believe, what happened at its targets, and
 *   what the rank groups went through, from [LOOKBACK_MILLISECONDS] before the first line to the last
 */
public class RequestTrace private constructor(
    public val lines: List<LogLine>,
    public val relatedLines: List<LogLine>,
) {
    public companion object {
        /** A switch of a group's maps and the loss of a peer show within this time. */
        public const val LOOKBACK_MILLISECONDS: Long = 3_000

        /** Lines that tell of a whole process or what it believes. */
        private val processKinds =
            setOf("started", "stopping", "reloaded", "store", "tables-in-force", "peer")

        /** Lines that tell of rank groups, whichever process writes them. */
        private val groupKinds =
            setOf("expert-lead", "expert-demand", "map-switch", "group-recovered")

        /** Lines that tell of a target. */
        private val targetKinds = setOf("target-changed", "attempt-failed")

        /** Returns the story of [request] in [log], or null when no line names it. */
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
