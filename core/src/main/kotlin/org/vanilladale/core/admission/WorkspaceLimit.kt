package org.vanilladale.core.admission

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.RouteName
import org.vanilladale.schema.WorkspaceId

/**
 * Requests in flight per workspace and route at one entry. Keep it under a lock.
 *
 * While all fit into the capacity, only the limit of the route applies. Beyond it a workspace gets
 * another request only up to its max-min fair share of it. A workspace under its share is
 * admitted although the capacity is used up, so a large one that came first cannot starve it; the
 * total stays under twice the capacity plus one request for each workspace.
 */
public class WorkspaceLimit(private val capacityNow: () -> Int) {
    /** Creates a limit whose capacity does not change. */
    public constructor(capacity: Int) : this({ capacity })

    private val capacity: Int get() = capacityNow()

    private class Usage {
        var total = 0
        val byRoute = HashMap<RouteName, Int>(2)
    }

    private val usages = HashMap<WorkspaceId, Usage>()

    /** Requests in flight of all workspaces. */
    public var inFlight: Int = 0
        private set

    /** Number of workspaces with requests in flight. */
    public val workspaces: Int get() = usages.size

    /** Admits and counts a request, or refuses with `workspace-limit`. */
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

    /** Uncounts a request that was admitted and has ended in any way. */
    public fun release(workspace: WorkspaceId, route: RouteName) {
        val usage = usages[workspace] ?: return
        val ofRoute = usage.byRoute[route] ?: return
        if (ofRoute == 1) usage.byRoute.remove(route) else usage.byRoute[route] = ofRoute - 1
        usage.total--
        inFlight--
        if (usage.total == 0) usages.remove(workspace)
    }

    /** The max-min fair level is at least [wanted] exactly if all fit when each is cut to it. */
    private fun fitsFairShare(workspace: WorkspaceId, wanted: Int): Boolean {
        var needed = wanted.toLong()
        for ((other, usage) in usages) {
            if (other != workspace) needed += minOf(usage.total, wanted)
        }
        return needed <= capacity
    }
}
