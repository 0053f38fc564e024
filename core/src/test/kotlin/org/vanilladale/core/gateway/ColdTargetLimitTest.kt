package org.vanilladale.core.gateway

import org.junit.jupiter.api.Test
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue

/**
 * Guards against cold targets that get more requests than they tolerate while callers want more
 * than that all the time.
 */
class ColdTargetLimitTest {
    private val profile = ColdProfile(coldMilliseconds = 3_000, requestsPerSecond = 14.0)
    private val id = TargetId.parse("a")

    private fun entries(count: Int, dataCentre: String = "north") = List(count) {
        AddressCandidate(VmId.parse("$dataCentre-$it"), DataCentreName.parse(dataCentre), true)
    }

    /** Returns the times of the requests that a limit allows if there is one each millisecond. */
    private fun sendTimes(until: Long): List<Long> {
        val limit = ColdTargetLimit()
        return (0 until until).filter { now ->
            limit.allows(id, profile, at(now)).also {
                if (it) limit.recordSend(id, profile, at(now))
            }
        }
    }

    private fun mostInOneSecond(times: List<Long>): Int =
        times.maxOf { start -> times.count { it in start until start + 1_000 } }

    @Test
    fun `one owner sends half of what a cold target tolerates`() {
        val times = sendTimes(until = 10_000)
        expectThat(times.size).isGreaterThanOrEqualTo(65)
        expectThat(mostInOneSecond(times)).isLessThanOrEqualTo(8)
    }

    @Test
    fun `three owners at the same time stay within the bound of the fleet`() {
        val times = List(3) { sendTimes(until = 10_000) }.flatten()
        expectThat(mostInOneSecond(times)).isLessThanOrEqualTo(26)
    }

    @Test
    fun `the limit tells when the next request may go`() {
        val limit = ColdTargetLimit()
        expectThat(limit.openingOrNull(id, profile, at(0))).isNull()
        repeat(2) { limit.recordSend(id, profile, at(0)) }
        val opening = limit.openingOrNull(id, profile, at(0))!!
        expectThat(limit.allows(id, profile, at(opening.epochMilliseconds))).isTrue()
    }

    @Test
    fun `entries that know the same entries choose the same owner near the target`() {
        val nearby = entries(8)
        val all = nearby + entries(8, "south")
        repeat(40) { index ->
            val target = target("t$index")
            val owner = ColdTargetOwner.chooseOrNull(target, all.shuffled())
            expectThat(nearby.any { it.vm == owner }).isTrue()
            expectThat(ColdTargetOwner.chooseOrNull(target, all)).isEqualTo(owner)
        }
    }

    @Test
    fun `a target without entries nearby has an owner elsewhere`() {
        val owner = ColdTargetOwner.chooseOrNull(target("a"), entries(3, "south"))
        expectThat(owner?.text?.startsWith("south")).isEqualTo(true)
        expectThat(ColdTargetOwner.chooseOrNull(target("a"), emptyList())).isNull()
    }

    @Test
    fun `the loss of an entry moves only the targets that it owned`() {
        val all = entries(8)
        repeat(40) { index ->
            val target = target("t$index")
            val owner = ColdTargetOwner.chooseOrNull(target, all)
            val without = all.filter { it.vm != all.first().vm }
            if (owner != all.first().vm) {
                expectThat(ColdTargetOwner.chooseOrNull(target, without)).isEqualTo(owner)
            }
        }
    }
}
