package org.vanilladale.core.membership

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.core.hash.chooseByRendezvous
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.EntryState
import org.vanilladale.schema.EntryStatus
import org.vanilladale.schema.EntryStatus.ALIVE
import org.vanilladale.schema.EntryStatus.DEAD
import org.vanilladale.schema.EntryStatus.LEAVING
import org.vanilladale.schema.EntryStatus.SUSPECTED
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue

class EntryDirectoryTest {
    private fun time(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)

    private fun vm(index: Int) = VmId.parse("vm-$index")

    private fun state(
        index: Int,
        status: EntryStatus = ALIVE,
        version: Long = 1,
        incarnation: Long = 1,
    ) = EntryState(
        vm(index),
        SocketAddressText.parse("10.0.0.$index:8080"),
        SocketAddressText.parse("10.0.0.$index:7000"),
        DataCentreName.parse("data-centre-${index % 3}"),
        Incarnation(incarnation),
        version,
        status,
    )

    private fun directory(self: Int = 0, others: Iterable<Int> = emptyList()) =
        EntryDirectory.fromOwn(state(self), dropMilliseconds = 60_000)
            .merge(others.map { state(it) }, time(0))

    @Test
    fun `a new process takes an incarnation above that of an earlier start with a faster clock`() {
        val earlier = state(0, ALIVE, version = 7, incarnation = 50)
        val replaced = directory(others = 1..3).merge(listOf(earlier), time(0))
        expectThat(replaced.replacedBy).isEqualTo(Incarnation(50))
        val taken = replaced.takeOver()
        expectThat(taken.replacedBy).isEqualTo(null)
        expectThat(taken.own.incarnation).isEqualTo(Incarnation(51))
        expectThat(taken.states.size).isEqualTo(4)
        val seenByOther = directory(1).merge(listOf(earlier), time(0)).merge(taken.states, time(0))
        expectThat(seenByOther.stateOrNull(vm(0))).isEqualTo(taken.own)
        expectThat(directory().takeOver().own.incarnation).isEqualTo(Incarnation(1))
    }

    @Test
    fun `the state with precedence remains whatever the order of merges`() {
        val cases = listOf(
            state(1, ALIVE, 1) to state(1, SUSPECTED, 1),
            state(1, SUSPECTED, 1) to state(1, ALIVE, 2),
            state(1, DEAD, 2) to state(1, ALIVE, 3),
            state(1, SUSPECTED, 9) to state(1, LEAVING, 2),
            state(1, DEAD, 9) to state(1, LEAVING, 2),
            state(1, LEAVING, 9, 1) to state(1, ALIVE, 1, 2),
        )
        cases.forEach { (earlier, later) ->
            listOf(listOf(earlier, later), listOf(later, earlier)).forEach {
                expectThat(directory().merge(it, time(0)).stateOrNull(vm(1))).isEqualTo(later)
            }
        }
        repeat(300) { seed ->
            val random = Random(seed)
            val states = List(30) {
                state(
                    random.nextInt(1, 4),
                    EntryStatus.entries.random(random),
                    random.nextLong(4),
                    random.nextLong(3),
                )
            }
            val views = listOf(states, states.shuffled(random), states.reversed())
                .map { directory().merge(it, time(0)).states.toSet() }
            expectThat(views.distinct()).hasSize(1)
        }
    }

    @Test
    fun `an entry that sees itself suspected or dead raises its version`() {
        listOf(SUSPECTED, DEAD).forEach { heard ->
            val own = directory().merge(listOf(state(0, heard, 4)), time(0)).own
            expectThat(own).isEqualTo(state(0, ALIVE, 5))
        }
        val replaced = directory().merge(listOf(state(0, ALIVE, 1, 7)), time(0))
        expectThat(replaced.replacedBy).isEqualTo(Incarnation(7))
        val old = directory().merge(listOf(state(0, SUSPECTED, 9, 0)), time(0))
        expectThat(old.own).isEqualTo(state(0))
    }

    @Test
    fun `a leaving mark applies to one incarnation and not to the next one`() {
        val marked = directory(0, 1..2).mergeVmList(setOf(vm(0), vm(2)), setOf(vm(1)), time(0))
        val stale = marked.merge(listOf(state(1, ALIVE, 99)), time(1))
        expectThat(stale.stateOrNull(vm(1))?.status).isEqualTo(LEAVING)
        val restarted = stale.merge(listOf(state(1, ALIVE, 1, 2)), time(2))
            .mergeVmList(setOf(vm(0), vm(2)), setOf(vm(1)), time(3))
        expectThat(restarted.stateOrNull(vm(1))?.status).isEqualTo(ALIVE)
    }

    @Test
    fun `a VM missing from the list is dead only if it is also suspected`() {
        val known = directory(0, 1..2).suspect(vm(2), time(0))
            .mergeVmList(setOf(vm(0)), emptySet(), time(1))
        expectThat(known.stateOrNull(vm(1))?.status).isEqualTo(ALIVE)
        expectThat(known.stateOrNull(vm(2))?.status).isEqualTo(DEAD)
    }

    @Test
    fun `states spread by probes and dropped entries do not reappear`() {
        repeat(10) { seed ->
            val random = Random(seed)
            val views = (0 until 20).map { directory(it, 0 until 20) }.toMutableList()

            fun rounds(from: Int, until: Int, apart: Int? = null) = (from until until).forEach {
                val now = time(it * 1_000L)
                views.indices.filter { index -> index != apart }.shuffled(random).forEach { index ->
                    views[index] = views[index].dropExpired(now)
                    chooseProbes(views[index], 3).map { probed -> probed.vm }.forEach { vm ->
                        val other = vm.text.removePrefix("vm-").toInt()
                        if (other == apart) {
                            views[index] = views[index].suspect(vm, now).declareDead(vm, now)
                        } else {
                            views[other] = views[other].merge(views[index].states, now)
                        }
                    }
                }
            }
            rounds(0, 10, apart = 5)
            val live = { views.filterIndexed { index, _ -> index != 5 } }
            expectThat(live()).all { get { stateOrNull(vm(5))?.status }.isEqualTo(DEAD) }
            rounds(10, 100, apart = 5)
            expectThat(live()).all { get { stateOrNull(vm(5)) }.isEqualTo(null) }
            views[5] = EntryDirectory.fromOwn(state(5, incarnation = 2), 60_000)
                .merge(listOf(state(6)), time(100_000))
            rounds(100, 110)
            expectThat(views).all { get { stateOrNull(vm(5))?.status }.isEqualTo(ALIVE) }
        }
    }

    @Test
    fun `each entry is probed by the given number of others, one in another data centre`() {
        val probes = (0 until 21).map { self ->
            chooseProbes(directory(self, 0 until 21), 3).map { self to it }
        }.flatten().groupBy({ it.second.vm }, { it.first })
        expectThat(probes).hasSize(21)
        // Shows why probers do not choose whom they probe: some entries would not be probed at all.
        val chosenBySelf = (0 until 21).flatMap { self ->
            val others = (0 until 21).filter { it != self }
            chooseByRendezvous(others, 3, "vm-$self", { "vm-$it" }, { it % 3 != self % 3 })
        }.toSet()
        println("membership: ${21 - chosenBySelf.size} of 21 are probed by none if probers choose")
        expectThat(chosenBySelf.size).isLessThan(21)
        probes.forEach { (probed, probers) ->
            val index = probed.text.removePrefix("vm-").toInt()
            expectThat(probers).hasSize(3)
            expectThat(probers.any { it % 3 != index % 3 }).isTrue()
        }
    }

    @Test
    fun `the list has live entries in random order with the data centre of the caller first`() {
        val leavingOrDead = listOf(state(3, LEAVING, 2), state(4, DEAD, 2), state(6, SUSPECTED, 2))
        val known = directory(0, 1 until 40).merge(leavingOrDead, time(0))
        val builder = EntryListBuilder(Random(5), keepMilliseconds = 30_000)
        val caller = DataCentreName.parse("data-centre-1")
        val answers = List(50) { builder.build(known, caller, time(1_000)) }
        answers.forEach { answer ->
            val centres = answer.entries.map { it.dataCentre == caller }
            expectThat(centres).isEqualTo(List(12) { true } + List(4) { false })
            expectThat(answer.keepUntil).isEqualTo(time(1_000).deadlineAfter(30_000))
        }
        val named = answers.flatMap { it.entries }.map { it.address }.toSet()
        expectThat(named.intersect(leavingOrDead.map { it.callerAddress }.toSet())).hasSize(0)
        expectThat(answers.map { it.entries.first() }.toSet().size).isGreaterThan(8)
        val alone = directory().merge(leavingOrDead, time(0))
        expectThat(builder.build(alone, caller, time(0)).entries).isNotEmpty()
        val leaving = directory(0, 1..2).leave()
        val addresses = builder.build(leaving, caller, time(0)).entries.map { it.address }
        expectThat(addresses).hasSize(2).contains(state(1).callerAddress)
    }
}
