package org.vanilladale.bench.routing

import kotlin.math.ceil
import org.vanilladale.core.routing.SubsetEntry
import org.vanilladale.core.routing.TargetSubset
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.VmId

/** One run in virtual time of one variant under one condition and seed. */
internal class World(
    private val condition: Condition,
    private val variant: Variant,
    private val seed: Int,
) {
    val time = VirtualTime()
    val names = Names(condition)
    val measures = Measures(time)

    /** The entry's share of the slots times the factor; an entry of many pools has more. */
    val capacityOfEntry: Int = ceil(
        variant.capacityFactor * EngineModel.SLOTS * condition.targets / condition.entries,
    ).toInt().coerceAtLeast(LEAST_CAPACITY)

    private val targets = List(condition.targets) { index ->
        val id = TargetId.parse("target-$index")
        val slowFactor = if (index == 0) condition.slowFactor else 1.0
        ServedTarget(id, time, variant, slowFactor) { prefix, stored ->
            if (variant.cacheEvents) usersOf(id).forEach { it.cacheEvent(prefix, id, stored) }
        }
    }
    private val targetsById = targets.associateBy { it.id }
    private val entries: List<ServingEntry>
    private val entriesByTarget: Map<TargetId, List<ServingEntry>>
    private var attempts = 0L

    init {
        val places = Fleet.entries(condition.entries)
        val subsets = TargetSubset.forAllEntries(
            places,
            Fleet.targets(condition.targets),
            variant.subsetSize,
        )
        entries = places.mapIndexed { index, place ->
            ServingEntry(index, subsets.getValue(place.vm).targets, variant, this, seed)
        }
        entriesByTarget = targets.associate { target ->
            target.id to entries.filter { target.id in it.targets }
        }
    }

    fun targetOf(id: TargetId): ServedTarget = targetsById.getValue(id)

    fun nextAttempt(): Long {
        measures.attempted()
        return attempts++
    }

    fun run(): RunResult {
        val arrivals = Workload.arrivals(condition, seed)
        arrive(arrivals, 0)
        heartbeat()
        if (condition.fault) {
            val failing = targets.filterIndexed { index, _ -> index % condition.faultEvery == 0 }
            time.after(Condition.FAULT_START_SECOND * SECOND) { failing.forEach { it.crash() } }
            time.after(Condition.FAULT_END_SECOND * SECOND) { failing.forEach { it.restart() } }
        }
        time.runUntil(Condition.SECONDS * SECOND)
        return measures.result(condition, variant, seed, arrivals, targets)
    }

    private fun arrive(arrivals: List<Arrival>, index: Int) {
        val arrival = arrivals.getOrNull(index) ?: return
        time.after(arrival.atMicroseconds - time.microseconds) {
            measures.offered()
            entries[arrival.entry].arrive(arrival)
            arrive(arrivals, index + 1)
        }
    }

    /** Spreads the heartbeats of the connections evenly over the interval of the variant. */
    private fun heartbeat(second: Int = 1) {
        time.after(SECOND) {
            targets.forEachIndexed { index, target ->
                if (!target.alive) return@forEachIndexed
                usersOf(target.id).forEach {
                    it.connected(target)
                    val place = second + index + it.index
                    if (place % variant.heartbeatSeconds == 0) it.reported(target)
                }
            }
            heartbeat(second + 1)
        }
    }

    private fun usersOf(id: TargetId): List<ServingEntry> = entriesByTarget.getValue(id)

    private companion object {
        const val SECOND = 1_000_000L
        const val LEAST_CAPACITY = 6
    }
}

/** Entries and targets spread over data centres. */
internal object Fleet {
    private const val DATA_CENTRES = 3

    fun entries(count: Int, dataCentres: Int = DATA_CENTRES): List<SubsetEntry> = List(count) {
        SubsetEntry(VmId.parse("entry-$it"), dataCentre(it % dataCentres))
    }

    fun targets(count: Int, dataCentres: Int = DATA_CENTRES): List<PoolTarget> = List(count) {
        PoolTarget(
            TargetId.parse("target-$it"),
            SocketAddressText.parse("127.0.0.1:7000"),
            dataCentre(it % dataCentres),
        )
    }

    private fun dataCentre(index: Int) = DataCentreName.parse("dc-$index")
}
