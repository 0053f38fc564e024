package org.vanilladale.core.configuration

import java.security.MessageDigest
import kotlinx.serialization.json.Json
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Tables

// Defaults are encoded, so that a row with an explicit default has the same digest as a row
// without.
private val canonicalJson = Json { encodeDefaults = true }

/**
 * Returns the SHA-256 digest of the canonical form of [tables]. It doesn't depend on the order of
 * rows, targets and adapters.
 */
public fun digestOf(tables: Tables): Digest {
    val bytes = canonicalJson.encodeToString(Tables.serializer(), sortedRows(tables)).toByteArray()
    val hash = MessageDigest.getInstance("SHA-256").digest(bytes)
    return Digest.parse(hash.joinToString("") { "%02x".format(it) })
}

private fun sortedRows(tables: Tables): Tables = tables.copy(
    routes = tables.routes.sortedBy { it.name.text },
    pools = tables.pools.sortedBy { it.name.text }.map { pool ->
        pool.copy(
            targets = pool.targets.sortedBy { it.target.text },
            adapters = pool.adapters.sortedBy { it.name.text },
        )
    },
)
