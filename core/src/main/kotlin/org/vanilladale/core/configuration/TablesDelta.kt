package org.vanilladale.core.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanilladale.schema.ConfigurationPush
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Tables

/** The reason why a push can't be applied. */
public enum class DeltaFault(public val remedy: String) {
    BASE_MISSING("Ask the peer for the whole tables."),
    DIGEST_MISMATCH("Ask for the whole tables; if those mismatch too, ask another peer."),
}

/**
 * Creates and applies pushes that contain the rows in which two revisions differ. A pool with a
 * changed target is sent as a whole row.
 */
public object TablesDelta {
    /** Returns a push that contains all rows of [tables]. */
    public fun whole(tables: Tables, digest: Digest, accepted: Boolean): ConfigurationPush =
        ConfigurationPush(
            tables.revision,
            digest,
            accepted,
            tables.routes,
            tables.pools,
            emptyList(),
            emptyList(),
        )

    /** Returns a push that contains the rows of [tables] that differ from [base]. */
    public fun between(
        base: Tables,
        tables: Tables,
        digest: Digest,
        accepted: Boolean,
    ): ConfigurationPush {
        val baseRoutes = base.routes.associateBy { it.name }
        val basePools = base.pools.associateBy { it.name }
        return ConfigurationPush(
            tables.revision,
            digest,
            accepted,
            routes = tables.routes.filter { baseRoutes[it.name] != it },
            pools = tables.pools.filter { basePools[it.name] != it },
            removedRoutes = (baseRoutes.keys - tables.routes.map { it.name }.toSet()).toList(),
            removedPools = (basePools.keys - tables.pools.map { it.name }.toSet()).toList(),
            base = base.revision,
        )
    }

    /**
     * Applies [push] to [base] and checks the digest. If [push] contains all rows, [base] is
     * ignored.
     */
    public fun apply(base: Tables?, push: ConfigurationPush): Either<DeltaFault, Tables> {
        val start = base?.takeIf { it.revision == push.base }
        if (push.base != null && start == null) return DeltaFault.BASE_MISSING.left()
        val routes = start?.routes.orEmpty().associateBy { it.name } - push.removedRoutes.toSet() +
            push.routes.associateBy { it.name }
        val pools = start?.pools.orEmpty().associateBy { it.name } - push.removedPools.toSet() +
            push.pools.associateBy { it.name }
        val tables = Tables(push.revision, routes.values.toList(), pools.values.toList())
        return if (digestOf(tables) == push.digest) {
            tables.right()
        } else {
            DeltaFault.DIGEST_MISMATCH.left()
        }
    }
}
