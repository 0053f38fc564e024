package org.vanilladale.core.gateway

import org.junit.jupiter.api.Test
import org.vanilladale.schema.GroupId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.map

class TargetDirectoryTest {
    private val directory = TargetDirectory(graceMilliseconds = 2_000)

    private fun usable(now: Long) = directory.usable(model, at(now)).map { it.id.text }

    @Test
    fun `a target that is missing from a list without an outage is removed`() {
        directory.replaceAll(listOf(target("a"), target("b")), false, at(0))
        val difference = directory.replaceAll(listOf(target("b")), false, at(10))
        expectThat(difference.gone).map { it.text }.containsExactly("a")
        expectThat(usable(10)).containsExactly("b")
    }

    @Test
    fun `a target that is missing after an outage is removed after the grace period`() {
        directory.replaceAll(listOf(target("a"), target("b")), false, at(0))
        directory.replaceAll(listOf(target("b")), true, at(100))
        expectThat(usable(2_099)).containsExactly("a", "b")
        expectThat(usable(2_100)).containsExactly("b")
    }

    @Test
    fun `a target that is listed again within the grace period stays`() {
        directory.put(target("a"))
        directory.expireAt(target("a").id, at(0).deadlineAfter(1_000))
        directory.put(target("a"))
        expectThat(usable(5_000)).containsExactly("a")
    }

    @Test
    fun `a leaving target gets no more requests`() {
        directory.put(target("a"))
        directory.put(target("a", leaving = true))
        expectThat(usable(0)).isEmpty()
    }

    @Test
    fun `a group is open only when all its ranks are listed with the same epoch`() {
        directory.put(target("a", seat = seat("g", 1)))
        expectThat(directory.openGroups(model)).isEqualTo(emptyMap())
        directory.put(target("b", seat = seat("g", 0)))
        val ranks = directory.openGroups(model).getValue(GroupId.parse("g"))
        expectThat(ranks).map { it.id.text }.containsExactly("b", "a")
        directory.put(target("b", seat = seat("g", 0, epoch = 2)))
        expectThat(directory.openGroups(model)).isEqualTo(emptyMap())
    }

    @Test
    fun `a target that says it is leaving gets no requests while it is listed as ready`() {
        directory.put(target("a"))
        expectThat(directory.recordLeaving(target("a"))).isEqualTo(true)
        expectThat(directory.recordLeaving(target("a"))).isEqualTo(false)
        directory.put(target("a"))
        expectThat(usable(0)).isEmpty()
        expectThat(directory.placeable).isEmpty()
    }

    @Test
    fun `a target that is listed anew after it was gone is not bound by its earlier statement`() {
        directory.put(target("a"))
        directory.recordLeaving(target("a"))
        directory.remove(target("a").id)
        directory.put(target("a"))
        expectThat(usable(0)).containsExactly("a")
    }

    @Test
    fun `a statement holds for the start of the process that made it`() {
        val first = target("a").copy(startedAt = at(1))
        directory.put(first)
        directory.recordLeaving(first)
        // The registration of a process that goes on running may lapse during an outage.
        directory.remove(first.id)
        directory.put(first)
        expectThat(usable(0)).isEmpty()
        directory.put(first.copy(startedAt = at(2)))
        expectThat(usable(0)).containsExactly("a")
    }

    @Test
    fun `a target that asks for time gets requests after its pause and is on trial first`() {
        directory.replaceAll(listOf(target("a"), target("b")), false, at(0))
        directory.recordPause(target("a"), at(0).deadlineAfter(500))
        expectThat(usable(499)).containsExactly("b")
        expectThat(directory.pauseEndOrNull(model, at(499))).isEqualTo(null)
        directory.recordAnswer(target("a"), at(499))
        expectThat(directory.isRecovering(target("a"), at(500))).isEqualTo(true)
        expectThat(usable(500)).containsExactly("a", "b")
        directory.recordAnswer(target("a"), at(510))
        expectThat(directory.isRecovering(target("a"), at(520))).isEqualTo(false)
    }

    @Test
    fun `the first of all pauses ends the pause of the pool and a shorter one shortens none`() {
        directory.replaceAll(listOf(target("a"), target("b")), false, at(0))
        directory.recordPause(target("a"), at(0).deadlineAfter(2_500))
        directory.recordPause(target("a"), at(0).deadlineAfter(200))
        directory.recordPause(target("b"), at(0).deadlineAfter(900))
        expectThat(directory.pauseEndOrNull(model, at(100))).isEqualTo(at(0).deadlineAfter(900))
        expectThat(usable(900)).containsExactly("b")
        expectThat(usable(2_499)).containsExactly("b")
    }
}
