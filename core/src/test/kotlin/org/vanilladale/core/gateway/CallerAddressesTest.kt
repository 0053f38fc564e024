package org.vanilladale.core.gateway

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize

class CallerAddressesTest {
    private val north = DataCentreName.parse("north")
    private val south = DataCentreName.parse("south")

    private fun entries(name: String, where: DataCentreName, count: Int, serving: Boolean = true) =
        List(count) { AddressCandidate(VmId.parse("$name-$it"), where, serving) }

    private fun choose(live: List<AddressCandidate>, lost: List<AddressCandidate> = emptyList()) =
        CallerAddresses.choose(live, lost, north, Random(1)).map { it.text }

    @Test
    fun `a caller gets the entries of its own data centre`() {
        val chosen = choose(entries("n", north, 3) + entries("s", south, 3))
        expectThat(chosen).containsExactlyInAnyOrder("n-0", "n-1", "n-2")
    }

    @Test
    fun `a caller with few entries in its data centre gets those of other data centres as well`() {
        val chosen = choose(entries("n", north, 2) + entries("s", south, 2))
        expectThat(chosen).containsExactlyInAnyOrder("n-0", "n-1", "s-0", "s-1")
    }

    @Test
    fun `entries that are starting or leaving are left out`() {
        val chosen = choose(entries("n", north, 3) + entries("l", north, 2, serving = false))
        expectThat(chosen).containsExactlyInAnyOrder("n-0", "n-1", "n-2")
    }

    @Test
    fun `an entry that lost most of its peers also returns the lost ones`() {
        val chosen = choose(entries("n", north, 1), entries("s", south, 5))
        expectThat(chosen).hasSize(6)
    }

    @Test
    fun `an answer has at most 64 entries`() {
        expectThat(choose(entries("n", north, 100))).hasSize(CallerAddresses.MAX_ENTRIES)
    }

    @Test
    fun `of the live entries only caller-facing ones are returned`() {
        val live = entries("n", north, 6)
        val callerFacing = live.take(3).mapTo(HashSet()) { it.vm }
        val chosen = CallerAddresses.choose(live, emptyList(), north, Random(1), callerFacing)
        expectThat(chosen.map { it.text }).containsExactlyInAnyOrder("n-0", "n-1", "n-2")
    }
}
