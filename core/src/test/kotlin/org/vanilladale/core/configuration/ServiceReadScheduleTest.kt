package org.vanilladale.core.configuration

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

/** Guards against a late first read, and too many reads when all processes start at once. */
class ServiceReadScheduleTest {
    private val start = Timestamp.fromEpochMilliseconds(0)

    @Test
    fun `the first read occurs during the wait for peers`() {
        for (wait in listOf(1L, 500L, 10_000L)) {
            repeat(1_000) { seed ->
                val first = ServiceReadSchedule(Random(seed), wait).first(start).epochMilliseconds
                expectThat(first).isGreaterThanOrEqualTo(wait / 10)
                expectThat(first).isLessThanOrEqualTo(wait * 9 / 10 + 1)
            }
        }
    }

    @Test
    fun `a change after an outage is active in time even if only one process can read it`() {
        val schedule = ServiceReadSchedule(Random(1))
        for (failures in 1..20) {
            repeat(1_000) {
                val readEnd = schedule.next(start, failures).epochMilliseconds + READ_MILLISECONDS
                expectThat(readEnd + SETTLING_MILLISECONDS).isLessThan(ACTIVE_MILLISECONDS)
            }
        }
    }

    @Test
    fun `1190 processes whose reads fail at once make less than 200 reads per second`() {
        val random = Random(1)
        val schedule = ServiceReadSchedule(random)
        val reads = List(1_190) {
            generateSequence(schedule.first(start)) { schedule.next(it, failures = 1) }
                .takeWhile { it.epochMilliseconds < OUTAGE_MILLISECONDS }.toList()
        }.flatten()
        val busiest = reads.groupingBy { it.epochMilliseconds / 1_000 }.eachCount().values.max()
        expectThat(busiest).isLessThan(200)
    }

    @Test
    fun `1190 processes that start at once make less than 200 reads per second`() {
        val busiest = (0 until 50).maxOf { seed ->
            val random = Random(seed)
            val reads = List(1_190) {
                val schedule = ServiceReadSchedule(random)
                val first = schedule.first(start)
                listOf(first, schedule.next(first, failures = 0))
            }.flatten()
            reads.groupingBy { it.epochMilliseconds / 1_000 }.eachCount().values.max()
        }
        println("configuration: busiest second of 50 starts at once: $busiest reads")
        expectThat(busiest).isLessThan(200)
    }

    private companion object {
        /** Time after which a change has to be active everywhere. */
        const val ACTIVE_MILLISECONDS = 16_000L

        /** Timeout of a read that began before the service returned. */
        const val READ_MILLISECONDS = 2_000L

        /** Default settling time of a revision. */
        const val SETTLING_MILLISECONDS = 2_000L
        const val OUTAGE_MILLISECONDS = 120_000L
    }
}
