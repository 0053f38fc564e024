package org.vanilladale.core.membership

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.core.membership.ConnectionAction.Abandon
import org.vanilladale.core.membership.ConnectionAction.ClearSuspicion
import org.vanilladale.core.membership.ConnectionAction.Dial
import org.vanilladale.core.membership.ConnectionAction.SuspectTarget
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class ConnectionWatchTest {
    private fun time(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)

    /**
     * Simulates a connection that becomes silent at random times and whose dials fail while
     * [isDown]. Returns the times of all suspicions.
     */
    private fun suspicions(
        seed: Int,
        onSilence: (List<ConnectionAction>) -> List<ConnectionAction>,
        isDown: (Long) -> Boolean = { false },
    ): List<Long> {
        val random = Random(seed)
        val watch = ConnectionWatch(ConnectionTimes(), random)
        val suspected = mutableListOf<Long>()
        var silentFrom = 0L
        var pending = watch.start(time(0))
        for (now in 0L..60_000L step 100) {
            pending = pending + onSilence(watch.tick(time(now)))
            if (SuspectTarget in pending) suspected += now
            if (pending.any { it is Dial }) {
                pending = if (isDown(now)) watch.dialFailed(time(now)) else emptyList()
                if (!isDown(now)) watch.dialSucceeded(time(now))
                silentFrom = now + random.nextLong(1, 10_000)
                if (SuspectTarget in pending) suspected += now
            }
            pending = emptyList()
            if (now < silentFrom && !isDown(now)) watch.frameReceived(time(now))
        }
        return suspected
    }

    @Test
    fun `a target with silent connections is not suspected as long as dials succeed`() {
        val suspectOnSilence = { actions: List<ConnectionAction> ->
            if (Abandon in actions) actions + SuspectTarget else actions
        }
        val without = (0 until 200).sumOf { suspicions(it, suspectOnSilence).size }
        val with = (0 until 200).sumOf { seed -> suspicions(seed, { it }).size }
        println("membership: $without wrong suspicions when silence decides, $with with the redial")
        expectThat(without).isGreaterThan(200)
        expectThat(with).isEqualTo(0)
    }

    @Test
    fun `a target that is down is suspected exactly once within a few seconds`() {
        repeat(200) { seed ->
            val found = suspicions(seed, { it }, { it in 20_000..40_000 })
            expectThat(found).hasSize(1)
            expectThat(found.single() in 20_000..24_100).isEqualTo(true)
        }
    }

    @Test
    fun `dials back off with jitter and a successful one clears the suspicion`() {
        val watch = ConnectionWatch(ConnectionTimes(), Random(1))
        var now = 0L
        watch.start(time(now))
        expectThat(watch.dialFailed(time(now))).containsExactly(SuspectTarget)
        for (longest in listOf(250L, 500, 1_000, 2_000, 4_000, 8_000, 8_000)) {
            expectThat(watch.tick(time(now + longest / 2 - 1))).isEmpty()
            now += longest
            expectThat(watch.tick(time(now)).single() is Dial).isEqualTo(true)
            expectThat(watch.tick(time(now + 1_000))).containsExactly(Abandon)
            now += 1_000
        }
        now += 8_000
        watch.tick(time(now))
        expectThat(watch.dialSucceeded(time(now))).containsExactly(ClearSuspicion)
        expectThat(watch.dialSucceeded(time(now))).contains(Abandon)
    }

    @Test
    fun `a leaving process refuses work from leavingAt on and is drained by the deadline`() {
        val leaving = LeavingState.Serving.announce(VmId.parse("vm"), time(1_000), 2_000, 60_000)
        expectThat(leaving.frame.leavingAt).isEqualTo(time(3_000))
        val cases = listOf(
            Triple(2_999L, 0, false to false),
            Triple(3_000L, 1, true to false),
            Triple(3_000L, 0, true to true),
            Triple(62_999L, 1, true to false),
            Triple(63_000L, 1, true to true),
        )
        cases.forEach { (now, inFlight, expected) ->
            val found = leaving.refusesNewWork(time(now)) to leaving.isDrained(inFlight, time(now))
            expectThat(found).isEqualTo(expected)
        }
        expectThat(LeavingState.Serving.isDrained(0, time(0))).isEqualTo(false)
    }
}
