package org.vanilladale.core.admission

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.RouteName
import org.vanilladale.schema.WorkspaceId

/**
 * Limits the requests in flight per workspace and route at one entry. Not thread-safe; callers
 * synchronize access.
 *
 * While the requests in flight are fewer than the capacity, only the limit of the route applies.
 * After that, a request is admitted only if its workspace stays within its max-min fair share of
 * the capacity. A workspace below its share is admitted even if the capacity is used up, so that a
 * large workspace that came first cannot starve it. The total stays below twice the capacity plus
 * one request for each workspace.
 */
public class WorkspaceLimit(private val capacityNow: () -> Int) {
    /** Creates a limit with a constant capacity. */
    public constructor(capacity: Int) : this({ capacity })

    private val capacity: Int get() = capacityNow()

    private class Usage {
        var total = 0
        val byRoute = HashMap<RouteName, Int>(2)
    }

    private val usages = HashMap<WorkspaceId, Usage>()

    /** Number of requests in flight of all workspaces. */
    public var inFlight: Int = 0
        private set

    /** Number of workspaces with requests in flight. */
    public val workspaces: Int get() = usages.size

    /** Admits and counts a request, or refuses it with `workspace-limit`. */
    public fun admit(
        workspace: WorkspaceId,
        route: RouteName,
        maximumOfRoute: Int,
    ): Either<Refusal, Unit> {
        val usage = usages[workspace]
        val ofRoute = usage?.byRoute?.get(route) ?: 0
        if (ofRoute >= maximumOfRoute) {
            return Refusal(
                RefusalReason.WORKSPACE_LIMIT,
                detail = "$ofRoute of $maximumOfRoute requests of the route are in flight",
            ).left()
        }
        val wanted = (usage?.total ?: 0) + 1
        if (inFlight >= capacity && wanted > 1 && !fitsFairShare(workspace, wanted)) {
            return Refusal(
                RefusalReason.WORKSPACE_LIMIT,
                detail = "the entry is full and the workspace has its share of ${wanted - 1}",
            ).left()
        }
        val counted = usages.getOrPut(workspace) { Usage() }
        counted.total++
        counted.byRoute[route] = ofRoute + 1
        inFlight++
        return Unit.right()
    }

    /** Releases an admitted request after it has ended, whatever its outcome. */
    public fun release(workspace: WorkspaceId, route: RouteName) {
        val usage = usages[workspace] ?: return
        val ofRoute = usage.byRoute[route] ?: return
        if (ofRoute == 1) usage.byRoute.remove(route) else usage.byRoute[route] = ofRoute - 1
        usage.total--
        inFlight--
        if (usage.total == 0) usages.remove(workspace)
    }

    /**
     * Returns whether the max-min fair share is at least [wanted]. This is the case exactly if all
     * workspaces fit into the capacity when each is limited to [wanted] requests.
     */
    private fun fitsFairShare(workspace: WorkspaceId, wanted: Int): Boolean {
        var needed = wanted.toLong()
        for ((other, usage) in usages) {
            if (other != workspace) needed += minOf(usage.total, wanted)
        }
        return needed <= capacity
    }
}
