package org.vanilladale.core.rankgroup

import java.security.MessageDigest
import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.schema.Digest
import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.MapPrepare
import org.vanilladale.schema.Term

/**
 * Copies of every expert of a rank group, immutable. The experts of all layers are numbered
 * through, layer after layer, so that one switch can change any of them.
 */
public class GroupMap private constructor(public val copySets: List<CopySet>) {
    public val expertCount: Int get() = copySets.size

    /** Copies of all experts as plain lists. */
    public val flat: FlatCopies get() = FlatCopies.of(copySets)

    /**
     * Returns the digest of every copy and weight of the map that is prepared under [term].
     *
     * A map gets another digest with each switch, so that a late order for it names no other. One
     * holder at most prepares a map under a term.
     */
    public fun digestUnder(term: Term): Digest {
        val text = copySets.joinToString(";", "$term:") { set ->
            set.ranks.joinToString(",") + set.weights.joinToString(",", "/")
        }
        val bytes = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
        return Digest.parse(bytes.joinToString("") { "%02x".format(it) })
    }

    /** Returns the frame that carries the whole map. */
    public fun toPrepare(group: GroupId, term: Term, digest: Digest): MapPrepare =
        flat.let { MapPrepare(group, term, digest, it.placement, it.copies, it.weights) }

    /** Returns [frame] of this map with only what differs from [base]; whole if most differs. */
    public fun deltaFrom(base: MapBase, frame: MapPrepare): MapPrepare {
        val changed = copySets.indices.filter { copySets[it] != base.map.copySets.getOrNull(it) }
        if (base.map.expertCount != expertCount || 2 * changed.size > expertCount) return frame
        val flat = FlatCopies.of(changed.map { copySets[it] })
        val distances = changed.mapIndexed { index, expert ->
            expert - if (index == 0) 0 else changed[index - 1]
        }
        return frame.copy(
            placement = flat.placement,
            copies = flat.copies,
            weights = flat.weights,
            base = base.digest,
            experts = distances,
        )
    }

    /** Returns this map with the experts that [frame] names replaced; null if they don't fit. */
    public fun applyDeltaOrNull(frame: MapPrepare): GroupMap? {
        val replaced = FlatCopies(frame.placement, frame.copies, frame.weights).copySetsOrNull()
        if (replaced == null || replaced.size != frame.experts.size) return null
        val result = copySets.toMutableList()
        var expert = 0
        frame.experts.forEachIndexed { index, distance ->
            val ascends = distance > 0 || index == 0 && distance == 0
            if (!ascends || distance >= expertCount - expert) return null
            expert += distance
            result[expert] = replaced[index]
        }
        return GroupMap(result)
    }

    override fun equals(other: Any?): Boolean = other is GroupMap && copySets == other.copySets

    override fun hashCode(): Int = copySets.hashCode()

    override fun toString(): String = "$expertCount experts, ${copySets.sumOf {
        it.ranks.size
    }} copies"

    public companion object {
        /** Wraps the copies of each expert. */
        public fun of(copySets: List<CopySet>): GroupMap = GroupMap(copySets.toList())

        /** Returns the map of [layers], each with its tokens split evenly between the copies. */
        public fun ofLayers(layers: List<ExpertMap>): GroupMap = GroupMap(
            layers.flatMap { layer ->
                List(layer.expertCount) { CopySet.evenly(layer.ranksOf(ExpertId(it))) }
            },
        )

        /** Returns the map that [flat] describes, or null when its lists don't fit each other. */
        public fun fromFlatOrNull(flat: FlatCopies): GroupMap? =
            flat.copySetsOrNull()?.let(::GroupMap)
    }
}

/** Map that a change refers to, and the digest under which the ranks know it. */
public data class MapBase(val digest: Digest, val map: GroupMap)
