package org.vanilladale.core.shard

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** State of type [S] under one lock. The block passed to [use] must not suspend. */
public class Locked<S : Any>(private val state: S) {
    private val lock = ReentrantLock()

    /** Runs [block] on the state under the lock. */
    public fun <R> use(block: (S) -> R): R = lock.withLock { block(state) }
}
