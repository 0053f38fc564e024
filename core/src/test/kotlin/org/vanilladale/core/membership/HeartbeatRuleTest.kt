package org.vanilladale.core.membership

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan

/** Guards against control traffic over the budget and silence deadlines without a tolerance. */
class HeartbeatRuleTest {
    private val rule = HeartbeatRule(baseMilliseconds = 1_000, minToleranceMilliseconds = 2_000)

    @Test
    fun `the interval is 1 s with few connections and grows with more`() {
        val expected = mapOf(
            0 to 1_000L..1_000L,
            19 to 1_000L..1_000L,
            21 to 1_000L..1_000L,
            24 to 1_000L..1_000L,
            48 to 1_900L..1_950L,
            186 to 9_300L..9_400L,
            432 to 40_400L..40_500L,
            10_000 to 60_000L..60_000L,
        )
        expected.forEach { (connections, range) ->
            val interval = rule.intervalMilliseconds(connections, betweenEntries = false)
            expectThat(interval).describedAs("$connections connections").isIn(range)
        }
    }

    @Test
    fun `heartbeats and configuration stay below 3 KB per second up to the planned sizes`() {
        (6..432).forEach { connections ->
            val seconds = rule.intervalMilliseconds(connections, betweenEntries = false) / 1_000.0
            val between = rule.intervalMilliseconds(connections, betweenEntries = true) / 1_000.0
            // The frame sizes are those of FrameCodecTest. The configuration traffic is that of
            // CAPACITY.md in both directions. Six of the connections are to other entries.
            val bytes = 77 * (connections - 6) / seconds + 6 * 50 / between + 650 + 3 * connections
            expectThat(bytes).describedAs("$connections connections").isLessThan(3_000.0)
        }
    }

    @Test
    fun `heartbeats between entries are eight times as frequent`() {
        expectThat(rule.intervalMilliseconds(432, betweenEntries = true)).isIn(5_050L..5_060L)
        expectThat(rule.intervalMilliseconds(24, betweenEntries = true)).isEqualTo(1_000)
    }

    @Test
    fun `the allowed silence is the announced interval plus a tolerance`() {
        val expected =
            mapOf(0L to 2_000L, 1_000L to 3_000L, 8_000L to 10_000L, 32_000L to 40_000L)
        expected.forEach { (next, silence) ->
            expectThat(rule.silenceMilliseconds(next)).describedAs("$next ms").isEqualTo(silence)
        }
        // A peer cannot keep a connection open indefinitely by announcing a long interval.
        expectThat(rule.silenceMilliseconds(Long.MAX_VALUE)).isEqualTo(75_000)
    }
}
