package org.vanilladale.core.rankgroup

import java.security.MessageDigest
import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.schema.Digest
import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.MapPrepare
import org.vanilladale.schema.Term

/**
 * Immutable placement of the experts of all layers of a rank group.
 *
 * The experts are numbered consecutively through all layers, so that one switch can change any of
 * them.
 *
 * @property copySets copies of each expert
 */
public class GroupMap private constructor(public val copySets: List<CopySet>) {
    public val expertCount: Int get() = copySets.size

    /** Copies of all experts as plain lists. */
    public val flat: FlatCopies get() = FlatCopies.of(copySets)

    /**
     * Returns the digest of all copies and weights of this map when it is prepared under [term].
     *
     * The term is part of the digest, so each switch to the same map has a different digest and a
     * late command can't refer to another switch. At most one holder prepares a map under a term.
     */
    public fun digestUnder(term: Term): Digest {
        val text = copySets.joinToString(";", "$term:") { set ->
            set.ranks.joinToString(",") + set.weights.joinToString(",", "/")
        }
        val bytes = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
        return Digest.parse(bytes.joinToString("") { "%02x".format(it) })
    }

    /** Returns the frame that contains the whole map. */
    public fun toPrepare(group: GroupId, term: Term, digest: Digest): MapPrepare =
        flat.let { MapPrepare(group, term, digest, it.placement, it.copies, it.weights) }

    /**
     * Returns a copy of [frame], the frame of this map, with only the experts that differ from
     * [base]. Returns [frame] itself if more than half of the experts differ or the number of
     * experts does.
     */
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

    /**
     * Returns this map with the experts in [frame] replaced, or null if the frame is inconsistent
     * or names experts that this map does not have.
     */
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

    override fun toString(): String =
        "$expertCount experts, ${copySets.sumOf { it.ranks.size }} copies"

    public companion object {
        /** Returns the map with the given copies of each expert. */
        public fun of(copySets: List<CopySet>): GroupMap = GroupMap(copySets.toList())

        /**
         * Returns the map of [layers]. The tokens of each expert are split evenly between its
         * copies.
         */
        public fun ofLayers(layers: List<ExpertMap>): GroupMap = GroupMap(
            layers.flatMap { layer ->
                List(layer.expertCount) { CopySet.evenly(layer.ranksOf(ExpertId(it))) }
            },
        )

        /** Returns the map that [flat] represents, or null if its lists are inconsistent. */
        public fun fromFlatOrNull(flat: FlatCopies): GroupMap? =
            flat.copySetsOrNull()?.let(::GroupMap)
    }
}

/** Map from which a delta is computed, and the [digest] under which the ranks store it. */
public data class MapBase(val digest: Digest, val map: GroupMap)
