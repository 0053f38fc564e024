package org.vanilladale.core.membership

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Guards against silent connections that stay undetected and live peers that are abandoned. */
class ConnectionHeartbeatTest {
    private val rule = HeartbeatRule(baseMilliseconds = 1_000, minToleranceMilliseconds = 2_000)

    private fun time(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)

    /** Simulated connection between a process with [left] and one with [right] connections. */
    private inner class Link(seed: Int, var left: Int, var right: Int) {
        private val random = Random(seed)
        private val heartbeats = List(2) { ConnectionHeartbeat(rule, false, random, time(0)) }
        private val arrivals = mutableListOf<() -> Boolean>()
        private var paused: Int? = null
        var now = 0L
        val sent = intArrayOf(0, 0)
        val abandonedAt = arrayOfNulls<Long>(2)

        /**
         * Runs until [end]. Frames sent by the side [mute] are lost; the process [paused] does
         * nothing.
         */
        fun run(end: Long, mute: Int? = null, paused: Int? = null): Link {
            this.paused = paused
            while (now < end) {
                now += rule.tickMilliseconds
                arrivals.toList().forEach { if (it()) arrivals.remove(it) }
                heartbeats.indices.filter { it != paused && abandonedAt[it] == null }
                    .forEach { tick(it, mute) }
            }
            return this
        }

        fun probe(side: Int) = heartbeats[side].startProbe(time(now))

        private fun tick(side: Int, mute: Int?) {
            val action = heartbeats[side].tick(if (side == 0) left else right, time(now))
            if (action == HeartbeatAction.Abandon) abandonedAt[side] = now
            if (action !is HeartbeatAction.Send || side == mute) return
            sent[side]++
            val arrival = now + random.nextLong(300)
            arrivals += {
                val arrived = now >= arrival && paused != 1 - side
                if (arrived) {
                    heartbeats[1 - side]
                        .heartbeatReceived(
                            action.nextMilliseconds,
                            action.leastMilliseconds,
                            time(now),
                        )
                }
                arrived
            }
        }
    }

    @Test
    fun `a live peer with a long interval never counts as silent`() {
        val sizes = listOf(21 to 19, 186 to 432, 21 to 432, 432 to 1)
        for (seed in 1..50) {
            sizes.forEach { (left, right) ->
                val link = Link(seed, left, right).run(200_000)
                expectThat(link.abandonedAt.toList()).isEqualTo(listOf(null, null))
            }
        }
    }

    /** Guards against a change of the interval that breaks the time announced to the peer. */
    @Test
    fun `a process with a changing number of connections does not count as silent`() {
        for (seed in 1..50) {
            val link = Link(seed, 3, 3)
            val random = Random(seed)
            repeat(40) {
                link.left = random.nextInt(1, 500)
                link.right = random.nextInt(1, 500)
                link.run(link.now + random.nextLong(100, 20_000))
            }
            expectThat(link.abandonedAt.toList()).isEqualTo(listOf(null, null))
        }
    }

    @Test
    fun `the side with fewer connections uses the interval of the other side`() {
        val link = Link(1, 432, 20).run(600_000)
        link.sent.forEach { expectThat(it).isIn(14..17) }
    }

    @Test
    fun `a silent connection is detected in bounded time`() {
        // The silence allowed after the last frame, which takes up to 500 ms here, plus one tick.
        val bounds = mapOf(20 to 3_750L, 186 to 12_500L, 432 to 51_400L)
        bounds.forEach { (connections, bound) ->
            for (seed in 1..50) {
                val link = Link(seed, connections, connections).run(100_000)
                link.run(200_000, mute = 1)
                val noticed = link.abandonedAt[0]
                expectThat(noticed).describedAs("$connections, seed $seed").isNotNull()
                    .isIn(100_000L..100_000L + bound)
            }
        }
    }

    @Test
    fun `a pause shorter than the tolerance does not end the connection`() {
        for (seed in 1..50) {
            val link = Link(seed, 432, 186).run(100_000)
            link.run(106_500, paused = 1).run(200_000)
            expectThat(link.abandonedAt[0]).isNull()
        }
    }

    @Test
    fun `a probe before a request detects that a quiet connection is silent`() {
        val link = Link(1, 432, 186).run(100_000)
        link.run(104_000, mute = 1)
        expectThat(link.probe(0)).isEqualTo(true)
        expectThat(link.probe(0)).isEqualTo(false)
        link.run(107_000, mute = 1)
        expectThat(link.abandonedAt[0]).isNotNull().isIn(105_000L..105_250L)
    }

    @Test
    fun `an answered probe keeps the connection and a busy connection needs no probe`() {
        val heartbeat = ConnectionHeartbeat(rule, false, Random(1), time(0))
        heartbeat.heartbeatReceived(30_000, 30_000, time(0))
        expectThat(heartbeat.startProbe(time(1_999))).isEqualTo(false)
        expectThat(heartbeat.startProbe(time(2_000))).isEqualTo(true)
        heartbeat.frameReceived(time(2_900))
        listOf(2_950L, 3_500L, 30_000L).forEach {
            expectThat(heartbeat.tick(432, time(it))).isNotEqualTo(HeartbeatAction.Abandon)
        }
    }
}
