package org.vanilladale.core.rankgroup

import org.junit.jupiter.api.Test
import org.vanilladale.schema.ArmedMap
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Frame
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.LeaseReply
import org.vanilladale.schema.LeaseRequest
import org.vanilladale.schema.MapAbort
import org.vanilladale.schema.MapConfirm
import org.vanilladale.schema.MapPrepare
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

class MapSwitchCoordinatorTest {
    private val group = GroupId.parse("group")
    private val ranks = setOf(Rank(0), Rank(1))
    private val old = Digest.parse("old")
    private val unfinished =
        ArmedMap(Term(3), Digest.parse("half"), Step(40))

    private fun at(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)

    private fun coordinator(map: String = "new") = MapSwitchCoordinator(
        MapSwitchPlan.plan(group, VmId.parse("holder"), Term(4)) {
            val sets = listOf(Rank(0), Rank(1)).map { CopySet.evenly(listOf(it)) }
            placement = MapSwitchPlan.Placement(ranks, GroupMap.of(sets))
            digest = Digest.parse(map)
        },
        at(0),
    ).also { it.start(at(0)) }

    private fun reply(rank: Int, state: RankMapState, granted: Boolean = true) =
        LeaseReply(group, Rank(rank), granted, Term(4), 0, Term(4), at(9), state)

    private fun collect(map: String, first: RankMapState, second: RankMapState): List<Frame> {
        val coordinator = coordinator(map)
        coordinator.onFrame(reply(0, first), at(1))
        return coordinator.onFrame(reply(1, second), at(2)).map { it.frame }
    }

    @Test
    fun `a later holder finishes a switch that a rank confirmed and aborts any other`() {
        val none = RankMapState(old, Step(9))
        val armed = none.copy(armed = unfinished)
        val prepare =
            MapPrepare(group, Term(4), Digest.parse("new"), listOf(Rank(0), Rank(1)))
        val abort = MapAbort(group, Term(4))
        val confirm = MapConfirm(group, Term(4), unfinished)
        val active = RankMapState(unfinished.digest, Step(40))
        listOf(
            Triple(none, none, listOf(prepare, prepare)),
            Triple(armed, armed, listOf(abort, abort)),
            Triple(none, armed, listOf(abort)),
            Triple(armed, armed.copy(confirmed = true), listOf(confirm, confirm)),
            Triple(armed, active, listOf(confirm)),
        ).forEach { (first, second, frames) ->
            expectThat(collect("new", first, second)).isEqualTo(frames)
        }
    }

    @Test
    fun `the switch ends with the lease if a rank is silent and a late reply sends nothing`() {
        val coordinator = coordinator()
        coordinator.onFrame(reply(0, RankMapState(old, Step(1))), at(1))
        expectThat(coordinator.tick(at(1_999)).map { it.rank }).containsExactly(Rank(1))
        expectThat(coordinator.onFrame(reply(1, RankMapState(old, Step(1))), at(2_000))).isEmpty()
        val fault = coordinator.result?.leftOrNull()
        expectThat(fault)
            .isEqualTo(MapSwitchFault.RanksUnreachable(MapSwitchPhase.COLLECT, setOf(Rank(1))))
        expectThat(fault?.remedy.orEmpty()).contains("agents of ranks 1")
    }

    @Test
    fun `a refused lease and an active map end the switch and release every rank`() {
        val state = RankMapState(old, Step(1))
        val refused = coordinator()
        expectThat(refused.onFrame(reply(1, state, granted = false), at(1)).size).isEqualTo(2)
        expectThat(refused.result?.leftOrNull())
            .isEqualTo(MapSwitchFault.LeaseRefused(Rank(1), Term(4), at(9)))
        val frames = collect("old", state, state)
        expectThat(frames.size).isEqualTo(2)
        expectThat(frames.filterIsInstance<LeaseRequest>()).isEmpty()
    }
}
