package org.vanilladale.bench.routing

import java.lang.management.ManagementFactory
import java.util.Locale
import kotlin.math.sqrt
import kotlin.random.Random
import org.vanilladale.core.admission.FairQueue
import org.vanilladale.core.admission.QueuedRequest
import org.vanilladale.core.admission.WorkspaceLimit
import org.vanilladale.core.routing.ChoiceRequest
import org.vanilladale.core.routing.PrefixAffinity
import org.vanilladale.core.routing.TargetChoice
import org.vanilladale.core.routing.TargetLoadView
import org.vanilladale.core.routing.TargetSubset
import org.vanilladale.core.routing.affinityWithBoundedLoad
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Load
import org.vanilladale.schema.PrefixId
import org.vanilladale.schema.RouteName
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.WorkspaceId

/** Time and memory of the decisions over their sizes, with a straight line through the points. */
internal object DecisionCost {
    private class Quantity(val name: String, val sizes: List<Int>, val measure: (Int) -> Double)

    private const val REPETITIONS = 15
    private const val CALLS = 2_000
    private const val NANOSECONDS_PER_MICROSECOND = 1e3
    private const val PERCENT = 100
    private const val BUSY = 6
    private val now = Timestamp.fromEpochMilliseconds(1_000)
    private val route = RouteName.parse("draft")

    // Processor time of the thread, as other programs may share the cores.
    private val threads = ManagementFactory.getThreadMXBean()
    private var sink = 0

    private val quantities = listOf(
        Quantity("target choice, us, by targets in the subset", listOf(8, 16, 32, 64, 128)) {
            choiceMicroseconds(it)
        },
        Quantity("workspace limit when full, us, by workspaces", listOf(100, 400, 1_600, 6_400)) {
            limitMicroseconds(it)
        },
        Quantity("fair queue offer and poll, us, by waiting", listOf(8, 32, 128, 512)) {
            queueMicroseconds(it)
        },
        Quantity("subset of a fleet, us, by entries", listOf(45, 90, 180, 360)) {
            subsetMicroseconds(it)
        },
        Quantity("load view, bytes, by targets", listOf(1_000, 4_000, 16_000, 64_000)) {
            retainedBytes { view(targets(it)) }
        },
        Quantity("workspace limit, bytes, by workspaces", listOf(1_000, 4_000, 16_000, 64_000)) {
            retainedBytes { limit(workspaces(it)) }
        },
        Quantity("prefix affinity, bytes, by prefixes", listOf(1_000, 4_000, 16_000, 64_000)) {
            retainedBytes { affinity(it) }
        },
    )

    fun table(): String = buildString {
        appendLine("| quantity | measured (size: value) | slope | intercept | fit error |")
        appendLine("|---|---|---|---|---|")
        for (quantity in quantities) {
            // The first pass compiles the code for all sizes.
            quantity.sizes.forEach { quantity.measure(it) }
            val points = quantity.sizes.map { it to quantity.measure(it) }
            val (slope, intercept, error) = fit(points)
            val values = points.joinToString(", ") { (size, value) -> "$size: ${number(value)}" }
            appendLine(
                "| ${quantity.name} | $values | ${number(slope)} | ${number(intercept)} | " +
                    "${number(error * PERCENT)} % |",
            )
        }
    }

    private fun targets(count: Int) = List(count) { TargetId.parse("target-$it") }

    private fun workspaces(count: Int) = List(count) { WorkspaceId.parse("workspace-$it") }

    private fun view(targets: List<TargetId>) = TargetLoadView().apply {
        targets.forEachIndexed { index, target ->
            started(target)
            reported(target, Load(index % BUSY, 0, EngineModel.SLOTS, now), now)
        }
    }

    private fun limit(workspaces: List<WorkspaceId>) = WorkspaceLimit(workspaces.size).apply {
        workspaces.forEach { admit(it, route, Int.MAX_VALUE) }
    }

    private fun affinity(prefixes: Int) = PrefixAffinity(prefixes).apply {
        repeat(prefixes) { routed(PrefixId.parse("prefix-$it"), SHARED_TARGET, now) }
    }

    private fun choiceMicroseconds(count: Int): Double {
        val targets = targets(count)
        val view = view(targets)
        val affinity = PrefixAffinity()
        val prefixes = List(Workload.PREFIXES_PER_WORKSPACE) { PrefixId.parse("prefix-$it") }
        val choice = TargetChoice(view, affinityWithBoundedLoad(view, affinity, Random(1)))
        return medianMicroseconds(CALLS) { call ->
            val request = ChoiceRequest(targets, now, prefixes[call % prefixes.size])
            if (choice.choose(request).isRight()) sink++
        }
    }

    private fun limitMicroseconds(count: Int): Double {
        val workspaces = workspaces(count)
        val limit = limit(workspaces)
        return medianMicroseconds(CALLS) { call ->
            if (limit.admit(workspaces[call % count], route, Int.MAX_VALUE).isRight()) sink++
        }
    }

    private fun queueMicroseconds(count: Int): Double {
        val workspaces = workspaces(count)
        val queue = FairQueue<Int>(count + 1)
        val request = { key: Int ->
            val due = Deadline.fromEpochMilliseconds(Long.MAX_VALUE)
            QueuedRequest(key, workspaces[key % count], key % BUSY, due)
        }
        repeat(count) { queue.offer(request(it)) }
        var key = count
        return medianMicroseconds(CALLS) {
            queue.offer(request(key++))
            if (queue.poll(now).next != null) sink++
        }
    }

    private fun subsetMicroseconds(entries: Int): Double {
        val fleet = Fleet.entries(entries)
        val targets = Fleet.targets(POOL_TARGETS)
        return medianMicroseconds(1) { sink += TargetSubset.forAllEntries(fleet, targets).size }
    }

    private fun medianMicroseconds(calls: Int, call: (Int) -> Unit): Double {
        val times = List(REPETITIONS * 2) {
            val start = threads.currentThreadCpuTime
            repeat(calls, call)
            (threads.currentThreadCpuTime - start) / NANOSECONDS_PER_MICROSECOND / calls
        }
        // The first half warms up the compiler.
        return times.drop(REPETITIONS).sorted()[REPETITIONS / 2]
    }

    private fun retainedBytes(create: () -> Any): Double {
        val samples = List(MEMORY_SAMPLES) {
            val before = usedBytes()
            val state = create()
            val bytes = usedBytes() - before
            sink += System.identityHashCode(state) and 1
            bytes.toDouble()
        }
        return samples.sorted()[MEMORY_SAMPLES / 2]
    }

    private fun usedBytes(): Long {
        repeat(COLLECTIONS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    /** Returns slope, intercept and the root mean square residual over the mean value. */
    internal fun fit(points: List<Pair<Int, Double>>): Triple<Double, Double, Double> {
        val meanSize = points.map { it.first }.average()
        val meanValue = points.map { it.second }.average()
        val slope = points.sumOf { (size, value) -> (size - meanSize) * (value - meanValue) } /
            points.sumOf { (size, _) -> (size - meanSize) * (size - meanSize) }
        val intercept = meanValue - slope * meanSize
        val residual = points.map { (size, value) ->
            (value - intercept - slope * size).let { it * it }
        }.average()
        return Triple(slope, intercept, sqrt(residual) / meanValue)
    }

    private fun number(value: Double) = String.format(Locale.ROOT, "%.4g", value)

    private val SHARED_TARGET = TargetId.parse("target-0")
    private const val MEMORY_SAMPLES = 3
    private const val COLLECTIONS = 4
    private const val POOL_TARGETS = 830
}
