package org.vanilladale.core.rankgroup

import org.vanilladale.schema.Digest
import org.vanilladale.schema.MapPrepare
import org.vanilladale.schema.Term

/**
 * Stores the most recent maps of a rank by digest.
 *
 * @param baseOf returns the digest of the map to which a delta is applied, given the base that the
 * delta names and the digest of the active map
 * @param matches returns whether a digest is that of a map prepared under a term
 */
public class MapStore(
    private val baseOf: (named: Digest, active: Digest) -> Digest = { named, _ -> named },
    private val matches: (Digest, GroupMap, Term) -> Boolean = { digest, map, term ->
        map.digestUnder(term) == digest
    },
) {
    private val maps = object : LinkedHashMap<Digest, GroupMap>() {
        override fun removeEldestEntry(eldest: Map.Entry<Digest, GroupMap>): Boolean =
            size > MAX_MAPS
    }

    /** Stores [map] under [digest]. */
    public fun put(digest: Digest, map: GroupMap) {
        maps.remove(digest)
        maps[digest] = map
    }

    /** Returns the map stored under [digest], or null if there is none. */
    public fun mapOrNull(digest: Digest): GroupMap? = maps[digest]

    /**
     * Stores and returns the map that [frame] prepares. Returns null if the base of the delta isn't
     * stored or the result does not match the digest of the frame.
     */
    public fun prepareOrNull(frame: MapPrepare, active: Digest): GroupMap? {
        val base = frame.base
        val map = if (base == null) {
            GroupMap.fromFlatOrNull(FlatCopies(frame.placement, frame.copies, frame.weights))
        } else {
            maps[baseOf(base, active)]?.applyDeltaOrNull(frame)
        }
        return map?.takeIf { matches(frame.digest, it, frame.term) }
            ?.also { put(frame.digest, it) }
    }

    private companion object {
        /**
         * Large enough that late frames of earlier holders do not evict the map that is being
         * loaded.
         */
        const val MAX_MAPS = 16
    }
}
