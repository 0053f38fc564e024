package org.vanilladale.standins

import kotlin.math.pow
import kotlin.random.Random

/** Share of tokens of each expert of a layer; a few experts change places with each [drift]. */
internal class DriftingPopularity(experts: Int, seed: Int) {
    private val random = Random(seed)
    private val shares = DoubleArray(experts) { (it + 1.0).pow(-EXPONENT) }

    init {
        val sum = shares.sum()
        shares.indices.forEach { shares[it] /= sum }
        shares.shuffle(random)
    }

    @Synchronized
    fun drift() {
        repeat(SWAPS) {
            val left = random.nextInt(shares.size)
            val right = random.nextInt(shares.size)
            shares[left] = shares[right].also { shares[right] = shares[left] }
        }
    }

    @Synchronized
    fun shares(): List<Double> = shares.toList()

    private companion object {
        const val EXPONENT = 0.5
        const val SWAPS = 2
    }
}
