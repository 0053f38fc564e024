package org.vanilladale.core.once

import org.vanilladale.core.hash.rendezvousChoice
import org.vanilladale.schema.Binding
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.PoolName

/** Chooses the target of a new binding, and with it the ledger that tracks the request. */
public object BindingTargetChoice {
    /**
     * Returns the target for [key], or null if [live] is empty.
     *
     * The incarnation does not influence the choice. A key therefore stays with a target that
     * restarted, and an entry that has not yet learned of the restart chooses the same target.
     */
    public fun choose(key: BoundKey, live: Collection<LiveTarget>): LiveTarget? =
        rendezvousChoice("${key.workspace}\u0000${key.key}", live) { it.target.text }

    /** Returns a binding of [key] to one of the [live] targets, or null if there are none. */
    public fun bind(
        pool: PoolName,
        key: BoundKey,
        live: Collection<LiveTarget>,
        nonce: Long,
        expiresAt: Deadline,
    ): Binding? =
        choose(key, live)?.let { Binding(pool, it.target, it.incarnation, nonce, expiresAt) }
}
