package org.vanilladale.core.configuration

import org.vanilladale.schema.ConfigurationOffer
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Revision

/** Tables that this process stores, in force or not. */
internal class StoredRevision(
    val tables: JoinedTables,
    val digest: Digest,
    val settledAt: Deadline,
) {
    val revision: Revision get() = tables.revision

    fun offer(accepted: Boolean) = ConfigurationOffer(revision, digest, accepted)
}

/** The newest stored revisions and the digests heard of; mutable, used under the state's lock. */
internal class StoredRevisions(private val kept: Int) {
    private val stored = sortedMapOf<Revision, StoredRevision>()
    private val digests = sortedMapOf<Revision, MutableSet<Digest>>()

    var inForce: StoredRevision? = null
        private set

    operator fun get(revision: Revision): StoredRevision? = stored[revision]

    fun highestOrNull(): StoredRevision? = stored.values.lastOrNull()

    fun all(): List<StoredRevision> = stored.values.toList()

    fun put(revision: StoredRevision) {
        stored[revision.revision] = revision
        trim(stored)
    }

    fun putInForce(revision: StoredRevision) {
        stored[revision.revision] = revision
        inForce = revision
        trim(stored)
    }

    /** Notes that [digest] exists for [revision]; returns true when it is a further content. */
    fun noteDigest(revision: Revision, digest: Digest): Boolean {
        val known = digests.getOrPut(revision) { mutableSetOf() }
        val further = known.add(digest) && known.size > 1
        trim(digests)
        return further
    }

    fun digestsOf(revision: Revision): Set<Digest> = digests[revision].orEmpty()

    fun isContested(revision: Revision): Boolean = digestsOf(revision).size > 1

    private fun <T> trim(map: MutableMap<Revision, T>) {
        while (map.size > kept) map.remove(map.keys.first { it != inForce?.revision })
    }
}
