package org.vanilladale.core.configuration

import org.junit.jupiter.api.Test
import org.vanilladale.schema.Revision
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo

/** Guards against faults that are reported only after other faults have been corrected. */
class TablesCheckTest {
    private val route = """{"name":"r","kind":"k","pool":"p","idempotent":false,
        "deadlineMilliseconds":900}"""
    private val target = """{"target":"a","agentAddress":"10.0.0.1:7","dataCentre":"x"}"""
    private val pool = """{"name":"p","type":"service","targets":[$target]}"""

    private fun String.replacing(from: String, to: String): String {
        check(from in this) { "'$from' isn't in '$this'" }
        return replace(from, to)
    }

    private fun places(routes: String, pools: String) =
        readTables(Revision(1), routes, pools).leftOrNull()?.map { it.place }.orEmpty()

    private val late =
        route.replacing("900", "0").replacing("\"r\"", "\"r2\"").replacing("\"k\"", "\"k2\"")

    private val rowCases = listOf(
        Case(
            "type, range and join faults in three rows",
            "[${route.replacing("false", "\"no\"")}, $late, ${route.replacing("\"p\"", "\"q\"")}]",
            "[$pool]",
            "routes[0].idempotent",
            "routes[1].deadlineMilliseconds",
            "routes[2].pool",
            "routes[2].name",
            "routes[2].kind",
        ),
        Case(
            "a type and a range fault in one row",
            "[${route.replacing("900", "-1").replacing("false", "3")}]",
            "[$pool]",
            "routes[0].idempotent",
            "routes[0].deadlineMilliseconds",
        ),
        Case(
            "a row that is not an object leaves the indexes of later rows unchanged",
            "[3, ${route.replacing("900", "0")}]",
            "[$pool]",
            "routes[0]",
            "routes[1].deadlineMilliseconds",
        ),
    )

    private val joinCases = listOf(
        Case(
            "an unreadable table of pools hides only join faults of the routes",
            "[${route.replacing("900", "0")}]",
            "[{",
            "pools line 1",
            "routes[0].deadlineMilliseconds",
        ),
        Case(
            "an unreadable table of routes hides no faults of the pools",
            "{}",
            "[${pool.replacing("[$target]", "[]")}]",
            "routes",
            "pools[0].targets",
        ),
        Case(
            "a pool with an unreadable name may be the one that a route names",
            "[$route]",
            "[${pool.replacing("\"p\"", "5")}]",
            "pools[0].name",
        ),
        Case(
            "a pool without a name may be the one that a route names",
            "[$route]",
            "[${pool.replacing("\"name\":\"p\",", "")}]",
            "pools[0].name",
        ),
        Case(
            "a pool with a readable name is joined despite another fault",
            "[$route, ${late.replacing("\"p\"", "\"q\"")}]",
            "[${pool.replacing("service", "servce")}]",
            "pools[0].type",
            "routes[1].pool",
            "routes[1].deadlineMilliseconds",
        ),
    )

    private val valueCases = listOf(
        Case(
            "a model pool with an unreadable model",
            "[${route.replacing("false", "true")}]",
            "[${pool.replacing("\"service\"", "\"model\",\"model\":4")}]",
            "pools[0].model",
        ),
        Case(
            "an address without port beside a range fault",
            "[$route]",
            "[${pool.replacing(":7\"", "\"").replacing("\"type\"", "\"skewWeight\":2,\"type\"")}]",
            "pools[0].targets[0].agentAddress",
            "pools[0].skewWeight",
        ),
        Case(
            "a target with an unreadable group beside a duplicate target",
            "[$route]",
            "[${pool.replacing(
                "[$target]",
                "[$target, ${target.replacing("}", ",\"group\":1,\"rank\":0}")}]",
            )}]",
            "pools[0].targets[1].group",
            "pools[0].targets[1].target",
        ),
        Case(
            "an unknown field beside a missing one and a range fault",
            "[${route.replacing("\"kind\"", "\"knd\"").replacing("900", "900,\"priority\":10")}]",
            "[$pool]",
            "routes[0].knd",
            "routes[0].kind",
            "routes[0].priority",
        ),
    )

    private val versioned = pool.replacing(
        "\"service\"",
        "\"model\",\"model\":\"m\",\"version\":\"v1\"",
    )
    private val adapter = """{"name":"a","version":"1"}"""

    private val versionCases = listOf(
        Case(
            "a version, adapters and a load share of 0 in a service pool",
            "[$route]",
            "[${pool.replacing(
                "\"type\"",
                """"version":"v","adapters":[$adapter],
                "loadSharePercent":0,"type"""",
            )}]",
            "pools[0].version",
            "pools[0].adapters",
            "pools[0].loadSharePercent",
        ),
        Case(
            "an unreadable version beside a duplicate adapter",
            "[${route.replacing("false", "true")}]",
            "[${versioned.replacing("\"v1\"", "7,\"adapters\":[$adapter,$adapter]")}]",
            "pools[0].version",
            "pools[0].adapters[1].name",
        ),
        Case(
            "adapters without the version of their model",
            "[${route.replacing("false", "true")}]",
            "[${versioned.replacing("\"version\":\"v1\"", "\"adapters\":[$adapter]")}]",
            "pools[0].version",
        ),
        Case(
            "a target in two model pools with versions",
            "[${route.replacing("false", "true")}]",
            "[$versioned, ${versioned.replacing("\"p\"", "\"q\"").replacing("v1", "v2")}]",
            "pools[0].targets[0].target",
            "pools[1].targets[0].target",
        ),
    )

    @Test
    fun `valid tables are joined`() {
        val joined = readTables(Revision(7), "[$route]", "[$pool]").getOrNull()
        expectThat(joined?.revision).isEqualTo(Revision(7))
    }

    @Test
    fun `faults of all kinds are reported at once and without follow-up faults`() {
        val cases = rowCases + joinCases + valueCases + versionCases
        cases.forEach { case ->
            expectThat(places(case.routes, case.pools)).describedAs(case.name)
                .containsExactlyInAnyOrder(case.places)
        }
    }

    private class Case(
        val name: String,
        val routes: String,
        val pools: String,
        vararg places: String,
    ) {
        val places = places.toList()
    }
}
