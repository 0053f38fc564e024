package org.vanilladale.core.membership

import org.junit.jupiter.api.Test
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class LeavingStateTest {
    private fun time(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)

    private fun deadline(milliseconds: Long) = Deadline.fromEpochMilliseconds(milliseconds)

    @Test
    fun `the likely end of a request decides during the notice and its latest end after it`() {
        val leaving = LeavingState.Serving.announce(VmId.parse("vm"), time(1_000), 2_000, 5_000)
        expectThat(leaving.drainDeadline).isEqualTo(deadline(8_000))
        listOf(
            AcceptanceCase(now = 1_000, likelyEnd = 3_000, latestEnd = 9_000, accepted = true),
            AcceptanceCase(now = 2_999, likelyEnd = 8_000, latestEnd = 10_999, accepted = true),
            AcceptanceCase(now = 2_999, likelyEnd = 8_001, latestEnd = 10_999, accepted = false),
            AcceptanceCase(now = 2_999, likelyEnd = 9_000, latestEnd = 4_000, accepted = true),
            AcceptanceCase(now = 3_000, likelyEnd = 4_000, latestEnd = 8_001, accepted = false),
            AcceptanceCase(now = 3_000, likelyEnd = 4_000, latestEnd = 8_000, accepted = true),
            AcceptanceCase(now = 7_500, likelyEnd = 7_600, latestEnd = 8_500, accepted = false),
            AcceptanceCase(now = 8_000, likelyEnd = 8_001, latestEnd = 9_000, accepted = false),
            AcceptanceCase(now = 1_000, likelyEnd = null, latestEnd = 8_001, accepted = false),
            AcceptanceCase(now = 1_000, likelyEnd = null, latestEnd = 8_000, accepted = true),
        ).forEach { case ->
            val found = leaving.accepts(
                time(case.now),
                case.likelyEnd?.let(::deadline),
                deadline(case.latestEnd),
            )
            expectThat(found).describedAs("$case").isEqualTo(case.accepted)
        }
    }

    @Test
    fun `a process that serves accepts requests however long they last`() {
        val accepted = LeavingState.Serving.accepts(time(0), deadline(60_000), deadline(90_000))
        expectThat(accepted).isTrue()
    }

    private data class AcceptanceCase(
        val now: Long,
        val likelyEnd: Long?,
        val latestEnd: Long,
        val accepted: Boolean,
    )
}
