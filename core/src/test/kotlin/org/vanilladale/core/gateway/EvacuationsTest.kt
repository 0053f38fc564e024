package org.vanilladale.core.gateway

import org.junit.jupiter.api.Test
import org.vanilladale.schema.DataCentreName
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import strikt.assertions.map

/** Guards against requests that are placed at targets of an evacuated data centre. */
class EvacuationsTest {
    private val north = DataCentreName.parse("north")
    private val south = DataCentreName.parse("south")
    private val directory = TargetDirectory()

    private fun usable() = directory.usable(model, at(0)).map { it.id.text }

    private fun southern(id: String) = target(id).copy(dataCentre = south)

    @Test
    fun `targets of an evacuated data centre are not used until the evacuation ends`() {
        directory.put(target("a"))
        directory.put(southern("b"))
        expectThat(directory.evacuations.begin(north)).isTrue()
        expectThat(usable()).containsExactly("b")
        expectThat(directory.placeable).map { it.id.text }.containsExactly("b")
        directory.evacuations.end(north, at(5))
        expectThat(usable()).containsExactlyInAnyOrder("a", "b")
    }

    @Test
    fun `a target that joins an evacuated data centre is not used`() {
        directory.evacuations.begin(north)
        directory.put(target("a"))
        expectThat(usable()).isEmpty()
    }

    @Test
    fun `a pool is evacuated when all its targets that stay are`() {
        directory.evacuations.begin(north)
        expectThat(directory.isEvacuated(model)).isFalse()
        directory.put(target("a"))
        directory.put(southern("b"))
        expectThat(directory.isEvacuated(model)).isFalse()
        directory.put(southern("b").copy(leaving = true))
        expectThat(directory.isEvacuated(model)).isTrue()
    }

    @Test
    fun `a list of evacuations shows which began and which ended`() {
        val evacuations = Evacuations()
        evacuations.begin(north)
        val difference = evacuations.replaceAll(setOf(south), at(7))
        expectThat(difference).isEqualTo(Evacuations.Difference(setOf(south), setOf(north)))
        expectThat(evacuations.endOrNull(target("a"))).isEqualTo(at(7))
        expectThat(evacuations.endOrNull(southern("b"))).isNull()
    }

    @Test
    fun `the same event twice is one change`() {
        val evacuations = Evacuations()
        expectThat(evacuations.begin(north)).isTrue()
        expectThat(evacuations.begin(north)).isFalse()
        expectThat(evacuations.end(north, at(1))).isTrue()
        expectThat(evacuations.end(north, at(2))).isFalse()
    }

    @Test
    fun `experts are not moved within a group that is evacuated as a whole`() {
        directory.put(target("a", seat = seat("g", 0)))
        directory.put(southern("b").copy(seat = seat("g", 1)))
        directory.evacuations.begin(north)
        expectThat(directory.openGroups(model).size).isEqualTo(1)
        directory.evacuations.begin(south)
        expectThat(directory.openGroups(model)).isEqualTo(emptyMap())
    }
}
