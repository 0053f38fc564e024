package org.vanilladale.core.rankgroup

import org.junit.jupiter.api.Test
import org.vanilladale.schema.ArmedMap
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Digest
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.LeaseRelease
import org.vanilladale.schema.LeaseRequest
import org.vanilladale.schema.MapConfirm
import org.vanilladale.schema.MapQuery
import org.vanilladale.schema.MapState
import org.vanilladale.schema.Rank
import org.vanilladale.schema.RankMapState
import org.vanilladale.schema.Step
import org.vanilladale.schema.Term
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class RankArbiterTest {
    private val group = GroupId.parse("group")
    private val first = VmId.parse("first")
    private val second = VmId.parse("second")
    private val old = Digest.parse("v5-old")
    private val map = ArmedMap(Term(2), Digest.parse("v5-new"), Step(30))

    private fun at(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)

    private fun leaseRequest(holder: VmId, term: Long) =
        LeaseRequest(group, holder, Term(term), 0, 9_000)

    @Test
    fun `a rank grants one lease at a time and only under increasing terms`() {
        val lease = RankLease(1_000, Deadline.fromEpochMilliseconds(0))
        val table = listOf(
            Triple(10L, leaseRequest(first, 3), true),
            Triple(20L, leaseRequest(second, 4), false),
            Triple(30L, leaseRequest(first, 4), false),
            Triple(900L, leaseRequest(first, 3), true),
            Triple(1_899L, leaseRequest(second, 4), false),
            Triple(1_900L, leaseRequest(second, 3), false),
            Triple(1_900L, leaseRequest(first, 3), false),
            Triple(1_900L, leaseRequest(second, 4), true),
        )
        val granted = table.map { (time, request, _) -> lease.request(request, at(time)).granted }
        expectThat(granted).isEqualTo(table.map { it.third })
        expectThat(lease.release(LeaseRelease(group, first, Term(4)))).isFalse()
        expectThat(lease.release(LeaseRelease(group, second, Term(4)))).isTrue()
        expectThat(lease.request(leaseRequest(first, 5), at(1_901)).granted).isTrue()
        expectThat(lease.request(leaseRequest(second, 9), at(1_902)))
            .isEqualTo(LeaseDecision(false, Term(5), at(2_901)))
    }

    @Test
    fun `a restarted rank waits out the longest lease unless the engine kept the term`() {
        val empty = RankLease(1_000, Deadline.fromEpochMilliseconds(1_500))
        expectThat(empty.request(leaseRequest(first, 1), at(1_499)))
            .isEqualTo(LeaseDecision(false, Term(0), at(1_500)))
        expectThat(empty.request(leaseRequest(first, 1), at(1_500)).granted).isTrue()
        val restored = RankLease(1_000, Deadline.fromEpochMilliseconds(1_500))
        restored.restore(Term(7))
        expectThat(restored.request(leaseRequest(first, 7), at(600)).granted).isFalse()
        expectThat(restored.request(leaseRequest(first, 8), at(600)).granted).isTrue()
    }

    @Test
    fun `commands of an older term are dropped and counted before they reach the engine`() {
        val gate = EngineCommandGate()
        gate.promise(Term(5))
        val admitted = listOf(4L, 5L, 6L, 1L).map { gate.admit(EngineCommand.Fence(Term(it))) }
        expectThat(admitted).containsExactly(false, true, true, false)
        expectThat(gate.droppedCommands).isEqualTo(2)
    }

    @Test
    fun `a stalled rank makes the group slow until enough steps are in time`() {
        val ranks = setOf(Rank(0), Rank(1))
        val monitor = GroupStepMonitor(ranks, 100, 3, at(0))
        fun both(step: Long, time: Long): GroupHealth {
            monitor.report(Rank(0), Step(step), at(time))
            return monitor.report(Rank(1), Step(step), at(time))
        }
        expectThat(both(1, 50).slow).isFalse()
        monitor.report(Rank(0), Step(2), at(60))
        expectThat(monitor.health(at(149)).slow).isFalse()
        expectThat(monitor.health(at(150))).isEqualTo(GroupHealth(true, setOf(Rank(1))))
        val slow = listOf(2L to 400L, 3L to 420L, 4L to 600L, 5L to 620L, 6L to 640L, 7L to 660L)
            .map { (step, time) -> both(step, time).slow }
        expectThat(slow).containsExactly(true, true, true, true, true, false)
    }

    private fun member(
        held: ArmedMap,
        term: Long,
        isSameSwitch: (ArmedMap, ArmedMap) -> Boolean = { left, right -> left == right },
    ): Pair<RankMapMember, MapQuery> {
        val member = RankMapMember(group, Rank(0), setOf(Rank(0), Rank(1)), 50, isSameSwitch)
        val engine = EngineReadBack(old, held.switchStep, held, term = Term(term))
        val asked = member.onReadBack(engine, at(100)).single() as MemberAction.ToRank
        return member to asked.frame as MapQuery
    }

    private fun answer(query: MapQuery, armed: ArmedMap?, confirmed: Boolean = false) = MapState(
        group,
        Rank(1),
        query.term,
        query.query,
        RankMapState(old, Step(30), armed, confirmed),
    )

    private val activate = MemberAction.Command(EngineCommand.Activate(map.term, map))

    @Test
    fun `only the same term, digest and step of all ranks confirms a held map`() {
        listOf(
            map to true,
            map.copy(term = Term(1)) to false,
            map.copy(digest = Digest.parse("v5-other")) to false,
            map.copy(switchStep = Step(31)) to false,
            null to false,
        ).forEach { (armed, confirms) ->
            val (member, query) = member(map, term = 2)
            val actions = member.onFrame(answer(query, armed))
            expectThat(actions).isEqualTo(if (confirms) listOf(activate) else emptyList())
        }
    }

    /** The peer holds a map of the same version that was prepared under a different term. */
    @Test
    fun `comparison by version alone activates a map of an older term`() {
        val (member, query) = member(map, term = 2, OmittedRule.COMPARE_VERSION_ONLY::isSameSwitch)
        val stale = ArmedMap(Term(1), Digest.parse("v5-stale"), Step(30))
        expectThat(member.onFrame(answer(query, stale))).contains(activate)
    }

    @Test
    fun `a rank that promised a higher term does not confirm a map of a lower term`() {
        val (member, query) = member(map, term = 2)
        member.promise(Term(3))
        expectThat(member.onFrame(answer(query, map, confirmed = true))).isEmpty()
        expectThat(member.onFrame(MapConfirm(group, Term(2), map))).isEmpty()
        expectThat(member.droppedFrames).isEqualTo(2)
    }

    @Test
    fun `a restarted rank reports no state before the engine has been read`() {
        val member = RankMapMember(group, Rank(0), setOf(Rank(0), Rank(1)), 50)
        expectThat(member.state).isNull()
        expectThat(member.onFrame(MapQuery(group, Rank(1), Term(1), 1))).isEmpty()
    }
}
