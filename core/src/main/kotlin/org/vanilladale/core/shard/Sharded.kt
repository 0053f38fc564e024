package org.vanilladale.core.shard

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * State of type [S] that is split by key into shards. Each shard has its own lock, so that threads
 * that work on different keys rarely wait for each other.
 *
 * The block passed to [withShard] must not suspend or access another shard.
 */
public class Sharded<K : Any, S : Any>(shardCount: Int, create: (index: Int) -> S) {
    private class Shard<S>(val state: S) {
        val lock = ReentrantLock()
    }

    private val shards: List<Shard<S>>

    init {
        require(shardCount > 0) { "shardCount must be positive; found $shardCount" }
        shards = List(shardCount) { index -> Shard(create(index)) }
    }

    /** Runs [block] with the shard of [key] while holding the lock of the shard. */
    public fun <R> withShard(key: K, block: (S) -> R): R {
        val shard = shards[Math.floorMod(key.hashCode(), shards.size)]
        return shard.lock.withLock { block(shard.state) }
    }

    /**
     * Runs [block] with each shard in turn, holding one lock at a time, and returns the results.
     */
    public fun <R> mapShards(block: (S) -> R): List<R> =
        shards.map { shard -> shard.lock.withLock { block(shard.state) } }
}
