package org.vanilladale.core.gateway

import org.junit.jupiter.api.Test
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class CallerFacingEntriesTest {
    private fun entries(dataCentre: String, count: Int) = List(count) {
        AddressCandidate(VmId.parse("$dataCentre-$it"), DataCentreName.parse(dataCentre), true)
    }

    private fun choose(serving: List<AddressCandidate>, slots: Int) =
        CallerFacingEntries.choose(serving, slots).map { it.text }

    @Test
    fun `a small number of slots is served by a few entries of each data centre`() {
        val chosen = choose(entries("a", 7) + entries("b", 7), slots = 100)
        expectThat(chosen).containsExactlyInAnyOrder("a-4", "a-5", "a-6", "b-4", "b-5", "b-6")
    }

    @Test
    fun `more slots at targets need more entries`() {
        val serving = entries("a", 9) + entries("b", 9) + entries("c", 9)
        expectThat(choose(serving, slots = 15 * CallerFacingEntries.SLOTS_PER_ENTRY)).hasSize(15)
        expectThat(choose(serving, slots = 1_000_000)).hasSize(27)
    }

    @Test
    fun `standbys take the place of lost entries`() {
        val all = entries("a", 7)
        val lost = CallerFacingEntries.choose(all, 1)
        expectThat(choose(all.filter { it.vm !in lost }, 1))
            .containsExactlyInAnyOrder("a-1", "a-2", "a-3")
    }

    @Test
    fun `the choice does not depend on the order of the peers`() {
        val serving = entries("a", 6) + entries("b", 5)
        expectThat(CallerFacingEntries.choose(serving.reversed(), 50))
            .isEqualTo(CallerFacingEntries.choose(serving, 50))
    }

    @Test
    fun `no entry is chosen when none is serving`() {
        expectThat(choose(emptyList(), 50)).isEmpty()
    }
}
