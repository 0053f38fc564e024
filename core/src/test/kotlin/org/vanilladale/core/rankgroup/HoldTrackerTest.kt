package org.vanilladale.core.rankgroup

import org.junit.jupiter.api.Test
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against switches that are recovered too late, or over and over without a hold. */
class HoldTrackerTest {
    private val watch = HoldTracker(reportValidityMilliseconds = 5_000)

    private fun at(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)

    @Test
    fun `a hold counts from the first of its reports`() {
        watch.report(Rank(1), true, at(0))
        watch.report(Rank(1), true, at(2_000))
        expectThat(watch.longestMilliseconds(at(2_500))).isEqualTo(2_500)
        watch.report(Rank(1), false, at(3_000))
        expectThat(watch.longestMilliseconds(at(3_500))).isEqualTo(0)
    }

    @Test
    fun `a hold whose end was reported to other agents is forgotten`() {
        watch.report(Rank(3), true, at(0))
        expectThat(watch.longestMilliseconds(at(5_000))).isEqualTo(0)
        watch.report(Rank(3), true, at(9_000))
        expectThat(watch.longestMilliseconds(at(9_100))).isEqualTo(100)
    }

    @Test
    fun `a try to finish the switch starts the count again`() {
        watch.report(Rank(0), true, at(0))
        watch.restart()
        watch.report(Rank(0), true, at(1_000))
        expectThat(watch.longestMilliseconds(at(1_300))).isEqualTo(300)
    }
}
