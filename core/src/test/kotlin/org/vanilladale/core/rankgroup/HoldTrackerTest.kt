package org.vanilladale.core.rankgroup

import org.junit.jupiter.api.Test
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Guards against a switch whose recovery starts too late, or again and again although no rank
 * holds.
 */
class HoldTrackerTest {
    private val tracker = HoldTracker(reportValidityMilliseconds = 5_000)

    private fun at(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)

    @Test
    fun `a hold counts from the first of its reports`() {
        tracker.report(Rank(1), true, at(0))
        tracker.report(Rank(1), true, at(2_000))
        expectThat(tracker.longestMilliseconds(at(2_500))).isEqualTo(2_500)
        tracker.report(Rank(1), false, at(3_000))
        expectThat(tracker.longestMilliseconds(at(3_500))).isEqualTo(0)
    }

    @Test
    fun `a hold whose end was reported to other agents is forgotten`() {
        tracker.report(Rank(3), true, at(0))
        expectThat(tracker.longestMilliseconds(at(5_000))).isEqualTo(0)
        tracker.report(Rank(3), true, at(9_000))
        expectThat(tracker.longestMilliseconds(at(9_100))).isEqualTo(100)
    }

    @Test
    fun `an attempt to finish the switch restarts the count`() {
        tracker.report(Rank(0), true, at(0))
        tracker.restart()
        tracker.report(Rank(0), true, at(1_000))
        expectThat(tracker.longestMilliseconds(at(1_300))).isEqualTo(300)
    }
}
