package org.vanilladale.core.gateway

import org.junit.jupiter.api.Test
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against cold targets that count as warm, and warm ones that count as cold for good. */
class ColdPeriodTest {
    private val profile = ColdProfile(coldMilliseconds = 3_000, requestsPerSecond = 14.0)

    private fun endOrNull(
        startedAt: Long? = null,
        coldUntil: Long? = null,
        evacuationEnd: Timestamp? = null,
        now: Long,
    ): Long? = ColdPeriod.endOrNull(
        target("a").copy(
            startedAt = startedAt?.let(::at),
            coldUntil = coldUntil?.let { at(0).deadlineAfter(it) },
        ),
        profile,
        evacuationEnd,
        at(now),
    )?.epochMilliseconds

    @Test
    fun `a target is cold after its start`() {
        expectThat(endOrNull(startedAt = 1_000, now = 3_999)).isEqualTo(4_000)
        expectThat(endOrNull(startedAt = 1_000, now = 4_000)).isNull()
    }

    @Test
    fun `a target that says it is cold is cold whenever it started`() {
        expectThat(endOrNull(startedAt = 1_000, coldUntil = 90_000, now = 80_000)).isEqualTo(90_000)
    }

    @Test
    fun `a target is cold after the evacuation of its data centre`() {
        expectThat(endOrNull(startedAt = 0, evacuationEnd = at(50_000), now = 52_000))
            .isEqualTo(53_000)
    }

    @Test
    fun `a target whose clock is ahead is not cold until the own clock has caught up`() {
        expectThat(endOrNull(startedAt = 900_000, now = 1_000)).isNull()
        expectThat(endOrNull(startedAt = 2_000, now = 1_000)).isEqualTo(5_000)
        expectThat(endOrNull(startedAt = 2_000, now = 5_000)).isNull()
    }

    @Test
    fun `a target that says nothing is warm`() {
        expectThat(endOrNull(now = 0)).isNull()
    }
}
