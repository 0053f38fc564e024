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

/** Checked operator tables whose routes and pools are joined by the pool name. */
public class JoinedTables private constructor(public val tables: Tables) {
    private val routesByKind: Map<RequestKind, Route> = tables.routes.associateBy { it.kind }
    private val poolsByName: Map<PoolName, Pool> = tables.pools.associateBy { it.name }

    public val revision: Revision get() = tables.revision

    /** Returns the route for [kind], or null when no route names it. */
    public fun routeOrNull(kind: RequestKind): Route? = routesByKind[kind]

    /** Returns the pool called [name], or null when the tables have none. */
    public fun poolOrNull(name: PoolName): Pool? = poolsByName[name]

    /** Returns the pool of [route]; the join check guarantees that it exists. */
    public fun poolOf(route: Route): Pool = poolsByName.getValue(route.pool)

    public companion object {
        /** Checks and joins [tables]; the left side holds every fault. */
        public fun fromTables(tables: Tables): Either<NonEmptyList<TableFault>, JoinedTables> =
            findTableFaults(tables).toNonEmptyListOrNull()?.left() ?: JoinedTables(tables).right()
    }
}
