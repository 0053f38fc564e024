package org.vanilladale.core.gateway

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.EntryPhase
import org.vanilladale.schema.PoolWaiting
import org.vanilladale.schema.Revision
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetShare
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class FleetViewTest {
    private val a = TargetId.parse("a")
    private val view = FleetView(VmId.parse("vm-0"), silenceMilliseconds = 1_000)

    private fun share(running: Int, failures: Int = 0, gap: Int = 0) =
        listOf(TargetShare(a, running, failures, gap))

    @Test
    fun `the load of a target is the sum over the last heartbeats of all peers`() {
        view.receive(heartbeat("vm-1", 1, targets = share(3, 1, 80)), at(0))
        view.receive(
            heartbeat(
                "vm-2",
                1,
                targets = share(2, 0, 100),
                waiting = listOf(PoolWaiting(model, 4)),
            ),
            at(0),
        )
        view.receive(heartbeat("vm-1", 2, targets = share(1, 1, 60)), at(10))
        expectThat(view.running(a)).isEqualTo(3)
        expectThat(view.failures(a)).isEqualTo(1)
        expectThat(view.gapOrNull(a)).isEqualTo(80.0)
        expectThat(view.waiting(model)).isEqualTo(4)
        expectThat(view.waitingEntries(model)).isEqualTo(1)
    }

    @Test
    fun `duplicates, outdated heartbeats and those of the entry itself change nothing`() {
        expectThat(view.receive(heartbeat("vm-1", 5, targets = share(3)), at(0))).isTrue()
        expectThat(view.receive(heartbeat("vm-1", 5, targets = share(9)), at(0))).isFalse()
        expectThat(view.receive(heartbeat("vm-1", 4, targets = share(9)), at(0))).isFalse()
        expectThat(view.receive(heartbeat("vm-0", 9, targets = share(9)), at(0))).isFalse()
        expectThat(view.running(a)).isEqualTo(3)
    }

    @Test
    fun `an entry that lost more peers than it hears may be cut off`() {
        (1..5).forEach { view.receive(heartbeat("vm-$it", 1), at(0)) }
        expectThat(view.mayBeCutOff(true, at(0))).isFalse()
        (1..2).forEach { view.receive(heartbeat("vm-$it", 2), at(900)) }
        view.expire(at(1_000))
        expectThat(view.mayBeCutOff(true, at(1_000))).isTrue()
        view.receive(heartbeat("vm-3", 2), at(1_100))
        expectThat(view.mayBeCutOff(true, at(1_100))).isFalse()
    }

    @Test
    fun `peers that were leaving or have been lost for long don't make an entry cut off`() {
        (1..3).forEach { view.receive(heartbeat("vm-$it", 1, phase = EntryPhase.LEAVING), at(0)) }
        (4..5).forEach { view.receive(heartbeat("vm-$it", 1), at(0)) }
        view.receive(heartbeat("vm-6", 1), at(900))
        view.expire(at(1_000))
        expectThat(view.mayBeCutOff(true, at(1_000))).isTrue()
        view.receive(heartbeat("vm-6", 2), at(61_000))
        expectThat(view.mayBeCutOff(true, at(61_000))).isFalse()
    }

    @Test
    fun `an entry that hears nobody may be cut off if there are others`() {
        expectThat(view.mayBeCutOff(expectsPeers = false, at(0))).isFalse()
        expectThat(view.mayBeCutOff(expectsPeers = true, at(0))).isTrue()
    }

    // Guards against an entry that takes itself for isolated, and sends callers to entries that
    // ended, because it has outlived many others.
    @Test
    fun `peers that were replaced one after the other are not taken for unreachable`() {
        view.receive(heartbeat("vm-1", 1), at(0))
        view.receive(heartbeat("vm-2", 1), at(0))
        for (round in 1..50) {
            val now = at(round * 10_000L)
            view.receive(heartbeat("vm-${round + 1}", 2), now)
            view.receive(heartbeat("vm-${round + 2}", 1), now)
            view.expire(now)
            expectThat(view.lost).hasSize(round)
            expectThat(named(now)).containsExactlyInAnyOrder(
                "vm-0",
                "vm-${round + 1}",
                "vm-${round + 2}",
            )
        }
    }

    // Guards against callers that an entry, once it has lost most of its peers, sends to entries
    // that ended, for as long as it runs.
    @Test
    fun `peers that were lost together may be named for 4 s after their last heartbeat`() {
        (1..3).forEach { view.receive(heartbeat("vm-$it", 1), at(0)) }
        view.receive(heartbeat("vm-4", 1, phase = EntryPhase.LEAVING), at(0))
        view.expire(at(1_000))
        expectThat(named(at(1_000))).containsExactlyInAnyOrder("vm-0", "vm-1", "vm-2", "vm-3")
        expectThat(named(at(3_999))).hasSize(4)
        expectThat(named(at(4_000))).containsExactly("vm-0")
    }

    // Guards against callers that are sent to an ended standby of a large fleet, whose silence is
    // noticed late because it sent heartbeats seldom.
    @Test
    fun `a live peer with a long heartbeat interval is named for 4 s after its last heartbeat`() {
        val standby = heartbeat("vm-1", 1).copy(intervalMilliseconds = 7_000)
        view.receive(standby, at(0))
        expectThat(named(at(3_999))).containsExactlyInAnyOrder("vm-0", "vm-1")
        expectThat(view.expire(at(4_000))).hasSize(0)
        expectThat(named(at(4_000))).containsExactly("vm-0")
        view.receive(standby.copy(sequence = 2), at(7_000))
        expectThat(named(at(7_000))).containsExactlyInAnyOrder("vm-0", "vm-1")
    }

    /** Returns the entries that callers are sent to at [now]. */
    private fun named(now: Timestamp): List<String> {
        val own = AddressCandidate(VmId.parse("vm-0"), DataCentreName.parse("north"), true)
        return CallerAddresses.choose(
            view.live.map { it.addressCandidate(now) } + own,
            view.possiblyServing(now).map { it.addressCandidate(now) },
            own.dataCentre,
            Random(1),
        ).map { it.text }
    }

    @Test
    fun `requests that wait at peers count by priority where a peer states it`() {
        val stated = listOf(PoolWaiting(model, 6, listOf(1, 2, 3)))
        view.receive(heartbeat("vm-1", 1, waiting = stated), at(0))
        view.receive(heartbeat("vm-2", 1, waiting = listOf(PoolWaiting(model, 4))), at(0))
        expectThat((0..2).map { view.waitingFrom(model, it) }).isEqualTo(listOf(5, 7, 10))
        expectThat((0..2).map { view.waitingBefore(model, it) }).isEqualTo(listOf(0, 1, 3))
        view.receive(heartbeat("vm-2", 2), at(900))
        view.expire(at(1_000))
        expectThat(view.waitingFrom(model, 2)).isEqualTo(0)
        expectThat(view.waitingBefore(model, 2)).isEqualTo(0)
    }

    @Test
    fun `a lost peer adds no load but still counts for shared budgets`() {
        view.receive(heartbeat("vm-1", 1, targets = share(3, 2, 70)), at(0))
        expectThat(view.expire(at(999))).hasSize(0)
        expectThat(view.expire(at(1_000))).hasSize(1)
        expectThat(view.running(a)).isEqualTo(0)
        expectThat(view.gapOrNull(a)).isNull()
        expectThat(view.entryCount(at(1_000))).isEqualTo(2)
        expectThat(view.lost).hasSize(1)
    }

    // Guards against an entry that gives up its share of the retry budget while it outlives others.
    @Test
    fun `peers that were replaced leave their share of budgets to others after ten minutes`() {
        for (round in 1..200) {
            val now = at(round * 60_000L)
            view.receive(heartbeat("vm-$round", 1), now)
            view.expire(now)
            expectThat(view.lost).hasSize(round - 1)
            expectThat(view.entryCount(now)).isEqualTo(2 + minOf(round - 1, 10))
        }
    }

    @Test
    fun `a restart after the clock was set back counts once the old process is lost`() {
        view.receive(heartbeat("vm-1", 50, incarnation = 9, targets = share(3)), at(0))
        expectThat(view.receive(heartbeat("vm-1", 1, incarnation = 4), at(10))).isFalse()
        view.expire(at(1_000))
        expectThat(view.receive(heartbeat("vm-1", 2, incarnation = 4), at(1_010))).isTrue()
        expectThat(view.live).hasSize(1)
        expectThat(view.lost).hasSize(0)
    }

    @Test
    fun `the highest configuration revision is that of live peers only`() {
        view.receive(heartbeat("vm-1", 1, tables = 4), at(0))
        view.receive(heartbeat("vm-2", 1, tables = 7), at(500))
        expectThat(view.highestTablesRevision).isEqualTo(Revision(7))
        view.expire(at(1_500))
        expectThat(view.highestTablesRevision).isNull()
    }

    @Test
    fun `a peer with a long heartbeat interval is lost only after several intervals`() {
        view.receive(heartbeat("vm-1", 1).copy(intervalMilliseconds = 1_500), at(0))
        expectThat(view.expire(at(5_999))).hasSize(0)
        expectThat(view.expire(at(6_000))).hasSize(1)
    }
}
