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
}
