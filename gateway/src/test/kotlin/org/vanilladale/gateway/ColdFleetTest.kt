package org.vanilladale.gateway

import org.junit.jupiter.api.Test
import org.vanilladale.core.gateway.AddressCandidate
import org.vanilladale.core.gateway.ColdProfile
import org.vanilladale.core.gateway.FleetView
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.core.shard.Locked
import org.vanilladale.runtime.EventLog
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.EntryBeat
import org.vanilladale.schema.EntryPhase
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

/**
 * Guards against cold targets that crash because all entries together send them too much. All 24
 * targets of a data centre come back cold at once, and each of 24 entries has more requests than it
 * may send.
 */
class ColdFleetTest {
    private val north = DataCentreName.parse("north")
    private val pool = PoolName.parse("model")
    private val targets = List(ENTRIES) { index ->
        KnownTarget(
            TargetId.parse("t$index"),
            pool,
            SocketAddressText.parse("10.0.1.$index:80"),
            north,
            7,
            leaving = false,
            seat = null,
            startedAt = at(0),
        )
    }

    private fun at(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)

    private inner class SimulatedEntry(index: Int, ownsFrom: Long) {
        val vm = VmId.parse("vm-${index + 100}")
        val view = Locked(FleetView(vm))
        private val directory = Locked(TargetDirectory())
        private var sequence = 0L
        var isRunning = true
        val cold = ColdTargets(
            vm,
            directory,
            view,
            { ColdProfile(COLD_MILLISECONDS, 14.0) },
            { true },
            at(ownsFrom).deadlineAfter(0),
            GatewayLog(vm, EventLog({}, {}), { at(0) }),
            GatewayMetrics(SystemCounters()),
        )

        fun heartbeat() = EntryBeat(
            vm,
            SocketAddressText.parse("10.0.0.1:7000"),
            north,
            Incarnation(1),
            ++sequence,
            EntryPhase.SERVING,
        )

        fun step(now: Long): List<TargetId> {
            view.use { it.expire(at(now)) }
            if (now % UPDATE_MILLISECONDS == 0L) {
                val live = view.use { known -> known.live.map { it.heartbeat.vm } } + vm
                cold.updateEntries(live.map { candidate(it) })
            }
            val open = cold.select(targets, pool, at(now)).open
            targets.filter { it.id in open }.forEach { cold.recordSend(it, at(now)) }
            return open.toList()
        }

        private fun candidate(vm: VmId) = AddressCandidate(vm, north, true)
    }

    /**
     * Plays [COLD_MILLISECONDS] and returns the times of the requests to each target.
     *
     * @param hears whether the entry with the first index hears the one with the second at a time
     */
    private fun play(
        ownsFrom: Long = 0,
        isRunning: (Int, Long) -> Boolean = { _, _ -> true },
        hears: (Int, Int, Long) -> Boolean = { _, _, _ -> true },
    ): Map<TargetId, List<Long>> {
        val entries = List(ENTRIES) { SimulatedEntry(it, ownsFrom) }
        val sends = HashMap<TargetId, ArrayList<Long>>()
        for (now in 0L until COLD_MILLISECONDS step STEP_MILLISECONDS) {
            entries.forEachIndexed { index, entry -> entry.isRunning = isRunning(index, now) }
            if (now % HEARTBEAT_MILLISECONDS == 0L) exchange(entries, now, hears)
            entries.filter { it.isRunning }.forEach { entry ->
                entry.step(now).forEach { sends.getOrPut(it) { ArrayList() } += now }
            }
        }
        return sends
    }

    private fun exchange(
        entries: List<SimulatedEntry>,
        now: Long,
        hears: (Int, Int, Long) -> Boolean,
    ) {
        entries.forEachIndexed { from, sender ->
            if (!sender.isRunning) return@forEachIndexed
            val heartbeat = sender.heartbeat()
            entries.forEachIndexed { to, receiver ->
                if (receiver.isRunning && hears(to, from, now)) {
                    receiver.view.use { it.receive(heartbeat, at(now)) }
                }
            }
        }
    }

    private fun mostInOneSecond(sends: Map<TargetId, List<Long>>): Int = sends.values.maxOf { all ->
        all.maxOf { start -> all.count { it in start until start + 1_000 } }
    }

    @Test
    fun `all targets are served by one entry each while the fleet is whole`() {
        val sends = play()
        expectThat(sends.size).isEqualTo(ENTRIES)
        expectThat(mostInOneSecond(sends)).isLessThanOrEqualTo(8)
    }

    @Test
    fun `the targets of lost entries are taken over within the bound`() {
        val sends = play(isRunning = { index, now -> index % 3 != 0 || now < 2_000 })
        val served = sends.count { (_, times) -> times.any { it > 4_000 } }
        expectThat(served).isEqualTo(ENTRIES)
        expectThat(mostInOneSecond(sends)).isLessThanOrEqualTo(BOUND)
    }

    @Test
    fun `entries that are each cut off from all others don't add up`() {
        val isCutOff = { index: Int, now: Long -> index < 12 && now in 2_000..6_000 }
        val sends = play { to, from, now -> !isCutOff(to, now) && !isCutOff(from, now) }
        expectThat(mostInOneSecond(sends)).isLessThanOrEqualTo(BOUND)
        val late = sends.values.flatten().filter { it > 4_000 }
        expectThat(late.size).isGreaterThan(0)
    }

    @Test
    fun `two parts of a fleet stay within the bound together`() {
        val sends = play { to, from, now -> now < 2_000 || to < 13 == from < 13 }
        expectThat(mostInOneSecond(sends)).isLessThanOrEqualTo(BOUND)
        expectThat(sends.values.flatten().count { it > 4_000 }).isGreaterThan(0)
    }

    @Test
    fun `entries that have just started send nothing before they know their peers`() {
        // No entry hears another, as in the first moment of a fleet that starts.
        expectThat(play(ownsFrom = 2_000) { _, _, _ -> false }.keys).isEmpty()
    }

    @Test
    fun `an entry that has been cut off for a minute still sends nothing`() {
        val view = FleetView(VmId.parse("vm-0"))
        view.receive(SimulatedEntry(1, 0).heartbeat(), at(0))
        view.expire(at(5_000))
        expectThat(view.mayBeCutOff(expectsPeers = false, at(120_000))).isTrue()
    }

    private companion object {
        const val ENTRIES = 24
        const val COLD_MILLISECONDS = 8_000L
        const val STEP_MILLISECONDS = 20L
        const val HEARTBEAT_MILLISECONDS = 240L
        const val UPDATE_MILLISECONDS = 240L

        /** 14 requests a second that a target tolerates, times 1.5, plus 5. */
        const val BOUND = 26
    }
}
