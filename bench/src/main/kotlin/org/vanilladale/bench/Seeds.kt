package org.vanilladale.bench

import kotlin.random.Random

private const val SEED_STEP = 1_000_003L
private const val HASH_FACTOR = 31L

/** Returns [count] distinct seeds that start with [first]. */
public fun seedsFrom(first: Long, count: Int): List<Long> = List(count) { first + it }

/**
 * Returns the generator of the random stream [name] of a run with [seed].
 *
 * Variants draw each input from its own stream, so that a decision of one variant does not change
 * the inputs of another.
 */
public fun randomStream(seed: Long, name: String): Random {
    val hash = name.fold(0L) { sum, character -> sum * HASH_FACTOR + character.code }
    return Random(seed * SEED_STEP + hash)
}
