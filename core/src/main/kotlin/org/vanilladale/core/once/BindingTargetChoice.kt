package org.vanilladale.core.once

import org.vanilladale.core.hash.rendezvousChoice
import org.vanilladale.schema.Binding
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.PoolName

/** Chooses the target, and with it the ledger, that a new binding names. */
public object BindingTargetChoice {
    /**
     * Returns the target for [key], or null when [live] is empty.
     *
     * The incarnation is carried but not hashed: a key returns to a target that restarted, and an
     * entry that has not learned of the restart yet chooses the same target.
     */
    public fun choose(key: BoundKey, live: Collection<LiveTarget>): LiveTarget? =
        rendezvousChoice("${key.workspace}\u0000${key.key}", live) { it.target.text }

    /** Returns a binding of [key] to one of [live], or null when [live] is empty. */
    public fun bind(
        pool: PoolName,
        key: BoundKey,
        live: Collection<LiveTarget>,
        nonce: Long,
        expiresAt: Deadline,
    ): Binding? =
        choose(key, live)?.let { Binding(pool, it.target, it.incarnation, nonce, expiresAt) }
}
