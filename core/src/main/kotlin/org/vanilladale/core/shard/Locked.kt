package org.vanilladale.core.shard

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Guards a mutable state of type [S] by a lock. The block passed to [use] must not suspend. */
public class Locked<S : Any>(private val state: S) {
    private val lock = ReentrantLock()

    /** Runs [block] with the state while holding the lock. */
    public fun <R> use(block: (S) -> R): R = lock.withLock { block(state) }
}
