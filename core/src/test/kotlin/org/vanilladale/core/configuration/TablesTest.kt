package org.vanilladale.core.configuration

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.schema.Revision
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

class TablesTest {
    private val target = """{"target":"a","agentAddress":"10.0.0.1:7","dataCentre":"x"}"""
    private val pools = """[{"name":"p","type":"service","targets":[$target]}]"""
    private val routes =
        """[ // orders
        {"name":"r","kind":"k","pool":"p","idempotent":false,"deadlineMilliseconds":900}]"""

    private fun faults(routes: String, pools: String) =
        parseTables(Revision(1), routes, pools).leftOrNull()?.map { it.place }.orEmpty()

    @Test
    fun `tables with comments are parsed and defaults are filled in`() {
        val tables = parseTables(Revision(4), routes, pools).getOrNull()!!
        expectThat(tables.routes.single().retryBudgetPercent).isEqualTo(10)
        expectThat(JoinedTables.fromTables(tables).isRight()).isEqualTo(true)
    }

    @Test
    fun `each syntax and type fault is reported with its place`() {
        val cases = listOf(
            Triple("[\n{]", pools, listOf("routes line 2")),
            Triple("{}", pools, listOf("routes")),
            Triple("[3]", pools, listOf("routes[0]")),
            Triple(routes.replace("false", "\"no\""), pools, listOf("routes[0].idempotent")),
            Triple(routes.replace("900", "1.5"), pools, listOf("routes[0].deadlineMilliseconds")),
            Triple(
                routes.replace("\"pool\"", "\"pol\""),
                pools,
                listOf("routes[0].pol", "routes[0].pool"),
            ),
            Triple(routes.replace("\"k\"", "\"\""), pools, listOf("routes[0].kind")),
            Triple(routes, pools.replace("service", "servce"), listOf("pools[0].type")),
            Triple(
                routes,
                pools.replace("\"x\"", "null"),
                listOf("pools[0].targets[0].dataCentre"),
            ),
            Triple(routes, pools.replace("[$target]", "{}"), listOf("pools[0].targets")),
            Triple("[3]", "[4]", listOf("routes[0]", "pools[0]")),
        )
        cases.forEach { (routes, pools, places) ->
            expectThat(faults(routes, pools)).containsExactly(places)
        }
    }

    @Test
    fun `the digest depends on the content but not on the order of rows`() {
        val tables = tables(1, targets = 40, pools = 5)
        val shuffled = tables.copy(
            routes = tables.routes.reversed(),
            pools = tables.pools.shuffled(Random(3)).map {
                it.copy(targets = it.targets.reversed())
            },
        )
        expectThat(digestOf(shuffled)).isEqualTo(digestOf(tables))
        expectThat(digestOf(tables(1, 1, 40, 5))).isNotEqualTo(digestOf(tables))
        expectThat(digestOf(tables.copy(revision = Revision(2)))).isNotEqualTo(digestOf(tables))
    }

    @Test
    fun `a delta transforms any tables into any others`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val (from, to) = List(2) {
                tables(it + 1L, it, random.nextInt(9, 40), random.nextInt(1, 9))
            }
            val digest = digestOf(to)
            val delta = TablesDelta.between(from, to, digest, accepted = false)
            expectThat(TablesDelta.apply(from, delta).map(::digestOf).getOrNull()).isEqualTo(digest)
            val whole = TablesDelta.whole(to, digest, accepted = false)
            expectThat(TablesDelta.apply(null, whole).getOrNull()).isEqualTo(to)
        }
    }

    @Test
    fun `a delta is refused if the base or the digest does not match`() {
        val (from, to) = tables(1, targets = 9, pools = 3) to tables(2, targets = 8, pools = 3)
        val delta = TablesDelta.between(from, to, digestOf(to), accepted = false)
        val other = tables(1, variant = 5, targets = 9, pools = 4)
        expectThat(TablesDelta.apply(null, delta).leftOrNull()).isEqualTo(DeltaFault.BASE_MISSING)
        expectThat(TablesDelta.apply(to, delta).leftOrNull()).isEqualTo(DeltaFault.BASE_MISSING)
        expectThat(TablesDelta.apply(other, delta).leftOrNull())
            .isEqualTo(DeltaFault.DIGEST_MISMATCH)
    }
}
