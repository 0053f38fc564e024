package org.vanilladale.core.gateway

import kotlin.random.Random
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class ServiceTimesTest {
    @Test
    fun `nothing is known before the first answer`() {
        expectThat(ServiceTimes().longestUsualMillisecondsOrNull).isNull()
    }

    @Test
    fun `at most one answer in twenty takes longer than predicted before it`() {
        listOf(
            "even" to { _: Random -> 900L },
            "noisy" to { random: Random -> random.nextLong(700, 1_300) },
            "wide" to { random: Random -> random.nextLong(60, 6_500) },
            "two kinds" to { random: Random -> if (random.nextBoolean()) 1_800L else 4_500L },
        ).forEach { (name, duration) ->
            val random = Random(SEED)
            val times = ServiceTimes()
            times.record(duration(random))
            val longer = (1..ANSWERS).count {
                val predicted = times.longestUsualMillisecondsOrNull!!
                val taken = duration(random)
                times.record(taken)
                taken > predicted
            }
            expectThat(longer).describedAs(name).isLessThan(ANSWERS / 20)
        }
    }

    @Test
    fun `answers that become slower raise the prediction within a few answers`() {
        val times = ServiceTimes()
        repeat(100) { times.record(900) }
        expectThat(times.longestUsualMillisecondsOrNull).isNotNull().isLessThan(1_000)
        repeat(3) { times.record(4_000) }
        expectThat(times.longestUsualMillisecondsOrNull).isNotNull().isGreaterThan(4_000)
    }

    private companion object {
        const val SEED = 7
        const val ANSWERS = 2_000
    }
}
