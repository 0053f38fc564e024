package org.vanilladale.core.explain

import org.vanilladale.core.configuration.JoinedTables
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.ExplainReport
import org.vanilladale.schema.Pool
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.RefusalAnswer
import org.vanilladale.schema.RequestKind
import org.vanilladale.schema.TargetReport

/**
 * Reports the targets to which a request of [kind] would be routed, or why it would be refused.
 *
 * @param tables configuration in effect; null if there is none
 * @param describe returns the state of a target as the caller of this function knows it
 */
public fun explainRoute(
    tables: JoinedTables?,
    kind: RequestKind,
    describe: (Pool, PoolTarget) -> TargetReport,
): ExplainReport {
    val route = tables?.routeOrNull(kind)
    val targets = if (route == null) {
        emptyList()
    } else {
        val pool = tables.poolOf(route)
        pool.targets.map { describe(pool, it) }
    }
    val refusal = when {
        tables == null -> Refusal(RefusalReason.NO_CONFIGURATION)
        route == null -> Refusal(RefusalReason.NO_ROUTE, detail = "kind '$kind' has no route")
        targets.none { it.state in USABLE_STATES } -> Refusal(RefusalReason.NO_TARGET)
        else -> null
    }
    return ExplainReport(
        kind = kind,
        targets = targets,
        revision = tables?.revision,
        route = route,
        poolType = route?.let { tables.poolOf(it).type },
        refusal = refusal?.let { refusalAnswerOf(it) },
    )
}

/** Converts [refusal] to the answer that callers and operators receive. */
public fun refusalAnswerOf(refusal: Refusal): RefusalAnswer = RefusalAnswer(
    reason = refusal.reason.code,
    run = refusal.run,
    remedy = listOfNotNull(refusal.detail, refusal.reason.remedy).joinToString(". "),
    retryAt = refusal.retryAt,
)

private val USABLE_STATES = setOf("ready", "slow", "listed")
