package org.vanilladale.core.groupswitch

import org.junit.jupiter.api.Test
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class DemandReadScheduleTest {
    private fun at(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)

    private val schedule = DemandReadSchedule(at(0))

    @Test
    fun `no counts are read while passes last as long as they should`() {
        expectThat(schedule.isDue(1.2, isDemandKnown = true, at(10_000))).isFalse()
    }

    @Test
    fun `counts are read when the demand is not known at all`() {
        expectThat(schedule.isDue(1.0, isDemandKnown = false, at(1))).isTrue()
    }

    @Test
    fun `a slow group has its counts read at once`() {
        expectThat(schedule.isDue(2.0, isDemandKnown = true, at(1))).isTrue()
    }

    @Test
    fun `counts are not read again before the switch that they led to shows`() {
        schedule.recordRead(foundBetterMap = true, at(0))
        expectThat(
            schedule.isDue(
                2.0,
                isDemandKnown = true,
                at(DemandReadSchedule.SWITCH_WAIT_MILLISECONDS - 1),
            ),
        ).isFalse()
        expectThat(
            schedule.isDue(
                2.0,
                isDemandKnown = true,
                at(DemandReadSchedule.SWITCH_WAIT_MILLISECONDS),
            ),
        ).isTrue()
    }

    @Test
    fun `a group that is slow for another cause has its counts read now and then`() {
        schedule.recordRead(foundBetterMap = false, at(0))
        expectThat(
            schedule.isDue(
                3.0,
                isDemandKnown = true,
                at(DemandReadSchedule.NO_SWITCH_WAIT_MILLISECONDS - 1),
            ),
        ).isFalse()
        expectThat(
            schedule.isDue(
                3.0,
                isDemandKnown = true,
                at(DemandReadSchedule.NO_SWITCH_WAIT_MILLISECONDS),
            ),
        ).isTrue()
    }
}
