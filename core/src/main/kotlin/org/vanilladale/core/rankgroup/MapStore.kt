package org.vanilladale.core.rankgroup

import org.vanilladale.schema.Digest
import org.vanilladale.schema.MapPrepare
import org.vanilladale.schema.Term

/**
 * Maps that the agent of a rank knows by digest, the latest ones only.
 *
 * @param baseOf gives the digest of the map to which a change is applied, from the one that the
 *   change names and the active one
 * @param matches tells whether a digest names a map that is prepared under a term
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

    /** Notes the content of the map [digest]. */
    public fun put(digest: Digest, map: GroupMap) {
        maps.remove(digest)
        maps[digest] = map
    }

    /** Returns the content of the map [digest], or null when it is not known. */
    public fun mapOrNull(digest: Digest): GroupMap? = maps[digest]

    /**
     * Returns the map that [frame] prepares and notes it, or null when the rank doesn't hold the
     * base of the change or the result is not the map that the digest names.
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
        /** A late frame of an earlier holder must not displace the map that is being loaded. */
        const val MAX_MAPS = 16
    }
}
