package org.vanilladale.core.routing

import org.junit.jupiter.api.Test
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

class TargetSubsetTest {
    private fun dataCentre(index: Int) = DataCentreName.parse("dc-${index % 4}")
    private fun entry(index: Int) = SubsetEntry(VmId.parse("entry-$index"), dataCentre(index))
    private fun target(index: Int) = PoolTarget(
        TargetId.parse("target-$index"),
        SocketAddressText.parse("127.0.0.1:${7_000 + index}"),
        dataCentre(index),
    )

    private val entries = List(90, ::entry)
    private val targets = List(210, ::target)

    @Test
    fun `subsets are full, balanced and mostly within the own data centre`() {
        val fleet = TargetSubset.forAllEntries(entries, targets, size = 14, slack = 1.0)
        val uses = fleet.values.flatMap { it.targets }.groupingBy { it }.eachCount()
        expectThat(fleet.values.map { it.targets.toSet().size }.toSet()).isEqualTo(setOf(14))
        expectThat(uses.values.max()).isLessThanOrEqualTo(6)
        val centres = targets.associate { it.target to it.dataCentre }
        val own = entries.sumOf { entry ->
            fleet.getValue(entry.vm).targets.count { centres[it] == entry.dataCentre }
        }
        expectThat(90 * 14 - own).isLessThan(90 * 14 / 20)
    }

    @Test
    fun `the order of the lists does not matter and an unlisted own entry gets a subset`() {
        val own = entry(7)
        val subset = TargetSubset.forEntry(own, entries, targets, 14).targets
        val shuffled = TargetSubset.forEntry(own, entries.reversed(), targets.reversed(), 14)
        expectThat(shuffled.targets).isEqualTo(subset)
        expectThat(TargetSubset.forEntry(own, entries - own, targets, 14).targets)
            .isEqualTo(subset)
        expectThat(TargetSubset.forEntry(own, entries, targets.take(3), 14).targets).hasSize(3)
    }

    @Test
    fun `the loss of one VM changes few subsets`() {
        val before = TargetSubset.forAllEntries(entries, targets, size = 14)
        val changed = { after: Map<VmId, TargetSubset> ->
            after.entries.sumOf { (vm, subset) ->
                (subset.targets - before.getValue(vm).targets.toSet()).size
            }
        }
        expectThat(changed(TargetSubset.forAllEntries(entries, targets.drop(1), size = 14)))
            .isLessThan(90 * 14 / 10)
        expectThat(changed(TargetSubset.forAllEntries(entries.drop(1), targets, size = 14)))
            .isLessThan(90 * 14 / 10)
    }
}
