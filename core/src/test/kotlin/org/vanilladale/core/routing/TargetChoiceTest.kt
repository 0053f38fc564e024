package org.vanilladale.core.routing

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Load
import org.vanilladale.schema.PrefixId
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.doesNotContain
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class TargetChoiceTest {
    private val targets = List(8) { TargetId.parse("target-$it") }
    private val prefix = PrefixId.parse("oak-drawer")
    private val view = TargetLoadView(reportLifetimeMilliseconds = 1_000)
    private val affinity = PrefixAffinity(maximumPrefixes = 3, keepMilliseconds = 500)

    private fun at(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)
    private fun load(running: Int, reportedAt: Long) = Load(running, 0, 8, at(reportedAt))
    private fun choose(policy: TargetPolicy, tried: Set<TargetId> = emptySet()) =
        TargetChoice(view, policy).choose(ChoiceRequest(targets, at(0), prefix, tried))

    @Test
    fun `a frequent prefix does not overload its preferred target`() {
        val policy = affinityWithBoundedLoad(view, affinity, Random(1), boundedLoadFactor = 1.25)
        repeat(400) { choose(policy).onRight(view::started) }
        expectThat(targets.maxOf { view.inFlight(it) }).isLessThan(64)
        targets.forEach { target -> repeat(100) { view.finished(target) } }
        val first = choose(policy)
        expectThat(List(20) { choose(policy) }.toSet()).isEqualTo(setOf(first))
    }

    @Test
    fun `two entries without history choose the same target for a prefix`() {
        val choices = List(2) { seed ->
            choose(affinityWithBoundedLoad(view, PrefixAffinity(), Random(seed)))
        }
        expectThat(choices.toSet().size).isEqualTo(1)
    }

    @Test
    fun `tried and unavailable targets are excluded and slow ones come last`() {
        val policy = twoRandomChoices(view, Random(2))
        view.markLeaving(targets[0], at(0).deadlineAfter(0))
        view.markUnavailable(targets[1], at(0).deadlineAfter(5))
        view.reported(targets[2], load(0, 0).copy(healthy = false), at(0))
        targets.subList(3, 6).forEach { view.markSlow(it, at(0).deadlineAfter(5)) }
        val last = targets.subList(6, 8)
        expectThat(List(50) { choose(policy).getOrNull() }.toSet()).isEqualTo(last.toSet())
        val slow = List(50) { choose(policy, last.toSet()).getOrNull() }.toSet()
        expectThat(slow).isEqualTo(targets.subList(3, 6).toSet())
        val none = choose(policy, targets.drop(3).toSet()).leftOrNull()
        expectThat(none?.reason).isEqualTo(RefusalReason.NO_TARGET)
    }

    @Test
    fun `an old report loses weight, a late one is ignored and a clock offset does not matter`() {
        val target = targets[0]
        view.started(target)
        view.reported(target, load(11, reportedAt = 90_000), receivedAt = at(100))
        view.reported(target, load(99, reportedAt = 89_000), receivedAt = at(120))
        val loads = listOf(100L, 600, 1_100, 9_000).map { view.loadOf(target, at(it)) }
        expectThat(loads).containsExactly(11.0, 6.0, 1.0, 1.0)
        expectThat(view.reportOrNull(target, at(1_100))).isEqualTo(null)
        expectThat(view.localTimeOf(target, at(90_200), now = at(350))).isEqualTo(at(300))
    }

    @Test
    fun `late and missing cache events and unlisted targets do not mislead the affinity`() {
        val preferredAt = { now: Long -> affinity.preferred(prefix, targets, at(now)) }
        val hashChoice = preferredAt(0).single()
        val other = targets.first { it != hashChoice }
        affinity.routed(prefix, other, at(100))
        affinity.evicted(prefix, other, at(50))
        expectThat(preferredAt(100)).containsExactly(other, hashChoice)
        expectThat(preferredAt(600)).describedAs("no eviction came").containsExactly(hashChoice)
        affinity.evicted(prefix, other, at(150))
        expectThat(preferredAt(160)).doesNotContain(other)
        affinity.stored(prefix, other, at(200))
        expectThat(affinity.preferred(prefix, targets - other, at(200))).doesNotContain(other)
        repeat(3) { affinity.routed(PrefixId.parse("other-$it"), other, at(300)) }
        expectThat(affinity.size).isEqualTo(3)
        expectThat(preferredAt(300)).containsExactly(hashChoice)
        affinity.forget(other)
        expectThat(affinity.size).isEqualTo(0)
        targets.forEach { affinity.routed(prefix, it, at(400)) }
        expectThat(preferredAt(400)).contains(hashChoice)
    }

    @Test
    fun `a slow mark expires and is set again only by a new sample`() {
        val slow = SlowTargets(view, factor = 2.0, markMilliseconds = 100)
        val report = { index: Int, service: Long, now: Long ->
            val load = load(1, now).copy(serviceMicroseconds = service)
            view.reported(targets[index], load, at(now))
            slow.reported(targets[index], load, targets, at(now))
        }
        val state = { now: Long -> view.stateOf(targets[0], at(now)) }
        (1..4).forEach { report(it, 1_000, 0) }
        report(0, 2_001, 0)
        expectThat(state(99)).isEqualTo(TargetState.SLOW)
        report(0, 2_001, 90)
        expectThat(state(100)).describedAs("probe").isEqualTo(TargetState.READY)
        report(0, 2_100, 110)
        expectThat(state(120)).describedAs("still slow").isEqualTo(TargetState.SLOW)
        report(0, 1_900, 250)
        expectThat(state(250)).isEqualTo(TargetState.READY)
    }

    @Test
    fun `the slow mark of a restarted target is cleared before it expires`() {
        val slow = SlowTargets(view, factor = 2.0, markMilliseconds = 10_000)
        val report = { index: Int, service: Long, now: Long ->
            val load = load(1, now).copy(serviceMicroseconds = service)
            view.reported(targets[index], load, at(now))
            slow.reported(targets[index], load, targets, at(now))
        }
        val state = { now: Long -> view.stateOf(targets[0], at(now)) }
        (1..4).forEach { report(it, 1_000, 0) }
        report(0, 9_000, 0)
        report(0, 1_800, 100)
        expectThat(state(100)).describedAs("near the limit").isEqualTo(TargetState.SLOW)
        report(0, 1_200, 200)
        expectThat(state(200)).isEqualTo(TargetState.READY)
        report(0, 9_000, 300)
        view.markSlow(targets[0], at(300).deadlineAfter(2_500))
        report(0, 1_200, 400)
        expectThat(state(400)).describedAs("mark of its rank group").isEqualTo(TargetState.SLOW)
    }
}
