package org.vanilladale.core.groupswitch

import org.junit.jupiter.api.Test
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class DemandWatchTest {
    private fun at(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)

    private val watch = DemandWatch(at(0))

    @Test
    fun `no counts are read while passes last as long as they should`() {
        expectThat(watch.isDue(1.2, isKnown = true, at(10_000))).isFalse()
    }

    @Test
    fun `counts are read when the demand is not known at all`() {
        expectThat(watch.isDue(1.0, isKnown = false, at(1))).isTrue()
    }

    @Test
    fun `a slow group has its counts read at once`() {
        expectThat(watch.isDue(2.0, isKnown = true, at(1))).isTrue()
    }

    @Test
    fun `counts are not read again before the switch that they led to shows`() {
        watch.wasRead(betterMap = true, at(0))
        expectThat(
            watch.isDue(2.0, isKnown = true, at(DemandWatch.SWITCH_MILLISECONDS - 1)),
        ).isFalse()
        expectThat(watch.isDue(2.0, isKnown = true, at(DemandWatch.SWITCH_MILLISECONDS))).isTrue()
    }

    @Test
    fun `a group that is slow for another cause has its counts read now and then`() {
        watch.wasRead(betterMap = false, at(0))
        expectThat(
            watch.isDue(3.0, isKnown = true, at(DemandWatch.REST_MILLISECONDS - 1)),
        ).isFalse()
        expectThat(watch.isDue(3.0, isKnown = true, at(DemandWatch.REST_MILLISECONDS))).isTrue()
    }
}
