package org.vanilladale.core.configuration

import org.junit.jupiter.api.Test
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Pool
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.PoolType
import org.vanilladale.schema.RequestKind
import org.vanilladale.schema.Revision
import org.vanilladale.schema.Route
import org.vanilladale.schema.RouteName
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.Tables
import org.vanilladale.schema.TargetId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

class JoinedTablesTest {
    private val target = PoolTarget(
        TargetId.parse("orders-1"),
        SocketAddressText.parse("127.0.0.1:7100"),
        DataCentreName.parse("lodz-1"),
    )
    private val pool = Pool(PoolName.parse("orders"), PoolType.SERVICE, listOf(target))
    private val route = Route(
        RouteName.parse("garter-order"),
        RequestKind.parse("garter-order"),
        pool.name,
        idempotent = false,
        deadlineMilliseconds = 2_000,
    )

    @Test
    fun `valid tables are joined by the pool name`() {
        val joined = JoinedTables.fromTables(Tables(Revision(1), listOf(route), listOf(pool)))
        expectThat(joined.getOrNull()?.poolOf(route)).isEqualTo(pool)
    }

    @Test
    fun `all faults are reported at once with their places`() {
        val unjoined = route.copy(
            pool = PoolName.parse("missing"),
            priority = 12,
            hedgeBudgetPercent = 5,
        )
        val empty = pool.copy(targets = emptyList(), skewWeight = 2.0)
        val tables = Tables(Revision(2), listOf(unjoined), listOf(empty))
        expectThat(findTableFaults(tables).map { it.place }).containsExactly(
            "routes[0].priority",
            "routes[0].hedgeBudgetPercent",
            "routes[0].pool",
            "pools[0].targets",
            "pools[0].skewWeight",
        )
    }
}
