package org.vanilladale.core.rankgroup

import kotlin.random.Random
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Term

/** Contents of the maps of a simulated group. */
internal class SimulatedMaps(private val setup: SimulationSetup, private val ranks: Set<Rank>) {
    /**
     * A random source of its own, so that the contents of the maps don't affect the schedule of
     * events of a seed.
     */
    private val random = Random(setup.seed)

    val initial =
        GroupMap.of(List(setup.experts) { CopySet.evenly(listOf(Rank(it % setup.rankCount))) })

    /** Gives some experts two copies, which share the tokens evenly when bytes are measured. */
    fun moved(map: GroupMap): GroupMap {
        val sets = map.copySets.toMutableList()
        sets.indices.shuffled(random).take(setup.movedExperts).forEach { expert ->
            val two = ranks.shuffled(random).take(2)
            val weights = listOf(1, if (setup.measureBytes) 1 else 1 + random.nextInt(3))
            sets[expert] = CopySet.fromRanks(two, weights)
        }
        return GroupMap.of(sets)
    }

    /**
     * Returns a digest of maximum length that starts with [name] and ends with the digest of [map].
     */
    fun digest(name: String, map: GroupMap, term: Term): Digest {
        val end = contentName(map, term)
        return Digest.parse(name.padEnd(Digest.MAXIMUM_LENGTH - end.length, '0') + end)
    }
}

/** Length and checksum that the transport adds to a frame. */
private const val FRAMING_BYTES = 8

/** Encoding that the transport uses. */
@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor {
    alwaysUseByteString = true
    useDefiniteLengthEncoding = true
    preferCborLabelsOverNames = true
}

/** Returns the number of bytes of [frame] on a connection. */
@OptIn(ExperimentalSerializationApi::class)
internal fun bytesOnWire(frame: Frame): Int =
    cbor.encodeToByteArray(Frame.serializer(), frame).size + FRAMING_BYTES
