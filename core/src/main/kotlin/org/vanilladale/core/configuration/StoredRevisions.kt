package org.vanilladale.core.configuration

import org.vanilladale.schema.ConfigurationOffer
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Revision

/**
 * A revision of the tables that this process stores, whether active or not.
 *
 * @property settledAt the end of the settling time
 */
internal class StoredRevision(
    val tables: JoinedTables,
    val digest: Digest,
    val settledAt: Deadline,
) {
    val revision: Revision get() = tables.revision

    fun offer(accepted: Boolean) = ConfigurationOffer(revision, digest, accepted)
}

/**
 * The newest stored revisions, and the known digests of each revision.
 *
 * This class is mutable and guarded by the same lock as [ConfigurationState].
 */
internal class StoredRevisions(private val maxRevisions: Int) {
    private val stored = sortedMapOf<Revision, StoredRevision>()
    private val digests = sortedMapOf<Revision, MutableSet<Digest>>()

    var active: StoredRevision? = null
        private set

    operator fun get(revision: Revision): StoredRevision? = stored[revision]

    fun highestOrNull(): StoredRevision? = stored.values.lastOrNull()

    fun all(): List<StoredRevision> = stored.values.toList()

    fun store(revision: StoredRevision) {
        stored[revision.revision] = revision
        trim(stored)
    }

    fun activate(revision: StoredRevision) {
        stored[revision.revision] = revision
        active = revision
        trim(stored)
    }

    /**
     * Records that content with [digest] exists for [revision]. Returns true if the digest is new
     * and different content of the same revision is already known.
     */
    fun recordDigest(revision: Revision, digest: Digest): Boolean {
        val known = digests.getOrPut(revision) { mutableSetOf() }
        val isConflicting = known.add(digest) && known.size > 1
        trim(digests)
        return isConflicting
    }

    fun digestsOf(revision: Revision): Set<Digest> = digests[revision].orEmpty()

    fun isContested(revision: Revision): Boolean = digestsOf(revision).size > 1

    private fun <T> trim(map: MutableMap<Revision, T>) {
        while (map.size > maxRevisions) map.remove(map.keys.first { it != active?.revision })
    }
}
