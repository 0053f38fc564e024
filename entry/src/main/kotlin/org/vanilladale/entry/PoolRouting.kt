package org.vanilladale.entry

import kotlin.random.Random
import org.vanilladale.core.retry.RetryBudget
import org.vanilladale.core.routing.PrefixAffinity
import org.vanilladale.core.routing.SlowTargets
import org.vanilladale.core.routing.TargetChoice
import org.vanilladale.core.routing.TargetLoadView
import org.vanilladale.core.routing.affinityWithBoundedLoad
import org.vanilladale.schema.RouteName
import org.vanilladale.schema.Timestamp

/** The routing state of one pool, guarded by the lock of the shard that holds it. */
internal class PoolRouting(random: Random) {
    val view = TargetLoadView()
    val slowTargets = SlowTargets(view)
    val affinity = PrefixAffinity()
    val choice = TargetChoice(view, affinityWithBoundedLoad(view, affinity, random))
    private val retryBudgets = HashMap<RouteName, Budget>()
    private val hedgeBudgets = HashMap<RouteName, Budget>()

    fun retryBudget(route: RouteName, percent: Int, now: Timestamp): RetryBudget =
        retryBudgets.current(route, percent, now)

    fun hedgeBudget(route: RouteName, percent: Int, now: Timestamp): RetryBudget =
        hedgeBudgets.current(route, percent, now)

    private class Budget(val percent: Int, val budget: RetryBudget)

    /** Returns the budget of [route]. A change of its percentage starts a new budget. */
    private fun HashMap<RouteName, Budget>.current(
        route: RouteName,
        percent: Int,
        now: Timestamp,
    ): RetryBudget {
        val kept = get(route)?.takeIf { it.percent == percent }
        return (kept ?: Budget(percent, RetryBudget(percent, now)).also { put(route, it) }).budget
    }
}
