package org.vanilladale.core.configuration

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import org.vanilladale.schema.Pool
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.RequestKind
import org.vanilladale.schema.Revision
import org.vanilladale.schema.Route
import org.vanilladale.schema.Tables

/** The operator tables after all checks, with each route joined to its pool by the pool name. */
public class JoinedTables private constructor(public val tables: Tables) {
    private val routesByKind: Map<RequestKind, Route> = tables.routes.associateBy { it.kind }
    private val poolsByName: Map<PoolName, Pool> = tables.pools.associateBy { it.name }

    public val revision: Revision get() = tables.revision

    /** Returns the route for [kind], or null if there is none. */
    public fun routeOrNull(kind: RequestKind): Route? = routesByKind[kind]

    /** Returns the pool with the given [name], or null if there is none. */
    public fun poolOrNull(name: PoolName): Pool? = poolsByName[name]

    /** Returns the pool of [route], which must be a route of these tables. */
    public fun poolOf(route: Route): Pool = poolsByName.getValue(route.pool)

    public companion object {
        /** Checks and joins [tables]. The left side contains all faults. */
        public fun fromTables(tables: Tables): Either<NonEmptyList<TableFault>, JoinedTables> =
            findTableFaults(tables).toNonEmptyListOrNull()?.left() ?: JoinedTables(tables).right()
    }
}
