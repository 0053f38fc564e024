package org.vanilladale.core.gateway

import org.junit.jupiter.api.Test
import org.vanilladale.schema.Revision
import org.vanilladale.schema.WorkspaceId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class GatewayTablesTest {
    private val oak = GatewayWorkspace(WorkspaceId.parse("oak"), null)
    private val tables = GatewayTables(
        Revision(3),
        listOf(
            route("/a/", WeightedPool(model, 1)),
            route("/a/b/", WeightedPool(desk, 1)),
            route("/a/", WeightedPool(desk, 1), host = "other"),
        ),
        listOf(GatewayPool(model, engine), GatewayPool(desk, null)),
        CallerLimits(1, 1, 1, 1),
        mapOf("key" to oak),
    )

    @Test
    fun `the longest prefix of the host selects the route`() {
        val chosen = listOf(
            "host" to "/a/x",
            "host" to "/a/b/x",
            "other" to "/a/b/x",
            "host" to "/b/",
            "none" to "/a/",
        ).map { (host, path) -> tables.routeOrNull(host, path)?.prefix }
        expectThat(chosen).isEqualTo(listOf("/a/", "/a/b/", "/a/", null, null))
    }

    @Test
    fun `a key belongs to its workspace and an unknown key to none`() {
        expectThat(tables.workspaceOrNull("key")).isEqualTo(oak)
        expectThat(tables.workspaceOrNull("other")).isNull()
    }

    @Test
    fun `requests are distributed over the pools by weight`() {
        val split = route("/a/", WeightedPool(model, 90), WeightedPool(desk, 10))
        val pools = (0 until 100).map { split.poolOrNull(it / 100.0) }
        expectThat(pools.count { it == desk }).isEqualTo(10)
        expectThat(route("/a/").poolOrNull(0.5)).isNull()
    }
}
