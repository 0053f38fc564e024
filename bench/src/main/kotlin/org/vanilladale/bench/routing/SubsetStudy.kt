package org.vanilladale.bench.routing

import java.util.Locale
import kotlin.random.Random
import org.vanilladale.core.routing.TargetSubset
import org.vanilladale.schema.VmId

/** Evenness and churn of the target subsets. */
internal object SubsetStudy {
    private data class Size(val entries: Int, val targets: Int, val dataCentres: Int)

    private val fleets = listOf(Size(20, 16, 3), Size(360, 31, 4), Size(360, 830, 4))
    private val sizes = listOf(8, 16, 32)
    private val slacks = listOf(1.0, 1.1, 1.25, 100.0)
    private const val REMOVALS = 10

    fun table(seed: Int): String = buildString {
        appendLine(
            "| entries x targets | subset | slack | highest over mean | places | changed when a " +
                "target goes (most) | least possible | when an entry goes (most) |",
        )
        appendLine("|" + "---|".repeat(COLUMNS))
        for (fleet in fleets) {
            for (size in sizes.filter { it < fleet.targets }) {
                slacks.forEach { appendLine(row(fleet, size, it, Random(seed))) }
            }
        }
    }

    private fun row(fleet: Size, size: Int, slack: Double, random: Random): String {
        val entries = Fleet.entries(fleet.entries, fleet.dataCentres)
        val targets = Fleet.targets(fleet.targets, fleet.dataCentres)
        val before = TargetSubset.forAllEntries(entries, targets, size, slack)
        val uses = before.values.flatMap { it.targets }.groupingBy { it }.eachCount()
        val mean = fleet.entries * size / fleet.targets.toDouble()
        val ofTarget = List(REMOVALS) {
            val without = targets - targets.random(random)
            changes(before, TargetSubset.forAllEntries(entries, without, size, slack))
        }
        val ofEntry = List(REMOVALS) {
            val without = entries - entries.random(random)
            changes(before, TargetSubset.forAllEntries(without, targets, size, slack))
        }
        val cells = listOf(
            "${fleet.entries} x ${fleet.targets}",
            "$size",
            "$slack",
            decimal(uses.values.max() / mean),
            "${fleet.entries * size}",
            "${decimal(ofTarget.average())} (${ofTarget.max()})",
            decimal(mean),
            "${decimal(ofEntry.average())} (${ofEntry.max()})",
        )
        return cells.joinToString(" | ", "| ", " |")
    }

    private fun changes(before: Map<VmId, TargetSubset>, after: Map<VmId, TargetSubset>): Int =
        after.entries.sumOf { (vm, subset) ->
            (subset.targets - before.getValue(vm).targets.toSet()).size
        }

    private fun decimal(value: Double) = String.format(Locale.ROOT, "%.2f", value)

    private const val COLUMNS = 8
}
