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
    fun `no counts are read while passes take the modelled time`() {
        expectThat(schedule.isDue(1.2, isDemandKnown = true, at(10_000))).isFalse()
    }

    @Test
    fun `counts are read when the demand is not known at all`() {
        expectThat(schedule.isDue(1.0, isDemandKnown = false, at(1))).isTrue()
    }

    @Test
    fun `the counts of a slow group are read at once`() {
        expectThat(schedule.isDue(2.0, isDemandKnown = true, at(1))).isTrue()
    }

    @Test
    fun `counts are not read again before the switch that they led to has an effect`() {
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
    fun `the counts of a group that is slow for another reason are read at intervals`() {
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
