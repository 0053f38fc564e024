package org.vanilladale.core.configuration

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.left
import arrow.core.toNonEmptyListOrNull
import org.vanilladale.schema.Pool
import org.vanilladale.schema.Revision
import org.vanilladale.schema.Route
import org.vanilladale.schema.Tables

/**
 * Parses, checks and joins the two operator tables. The left side contains the faults of all kinds.
 *
 * Rows with syntax or type faults are also checked for value ranges and the join, as far as their
 * other fields allow it. Faults that merely result from an unreadable value are not reported.
 */
public fun readTables(
    revision: Revision,
    routesText: String,
    poolsText: String,
): Either<NonEmptyList<TableFault>, JoinedTables> {
    val routes = parseRows("routes", routesText, Route.serializer())
    val pools = parseRows("pools", poolsText, Pool.serializer())
    val unreadable = routes.faults + pools.faults
    if (unreadable.isEmpty()) {
        return parseTables(revision, routesText, poolsText).flatMap(JoinedTables::fromTables)
    }
    val repaired = Tables(revision, routes.rows, pools.rows)
    val poolNamesKnown = pools.faults.none { it.place.matches(UNKNOWN_POOL_NAME) }
    val further = findTableFaults(repaired).filter { fault ->
        unreadable.none { overlap(it.place, fault.place) } &&
            (poolNamesKnown || !fault.place.matches(POOL_OF_ROUTE))
    }
    return (unreadable + further).toNonEmptyListOrNull()!!.left()
}

/** Returns true if the places are equal or one of them contains the other. */
private fun overlap(first: String, second: String): Boolean =
    first == second || isPartOf(first, second) || isPartOf(second, first)

private fun isPartOf(part: String, whole: String): Boolean =
    part.startsWith(whole) && part[whole.length] in ".["

private val POOL_OF_ROUTE = Regex("""routes\[\d+]\.pool""")

/** Matches places at which a fault means that the name of a pool is unknown. */
private val UNKNOWN_POOL_NAME = Regex("""pools( line \d+)?|pools\[\d+](\.name)?""")
