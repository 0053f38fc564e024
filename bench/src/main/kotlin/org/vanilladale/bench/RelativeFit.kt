package org.vanilladale.bench

import kotlin.math.abs

/**
 * Least-squares fit of measured values by several terms, by relative error.
 *
 * @property factors factor of each term
 * @property largestError largest difference of a value from the fit, relative to the value
 */
public data class RelativeFit(val factors: List<Double>, val largestError: Double) {
    /** Returns the fitted value at [terms]. */
    public fun at(terms: List<Double>): Double = factors.indices.sumOf { factors[it] * terms[it] }
}

/**
 * Fits [points], the terms and the positive value of each. Relative errors keep the large sizes
 * from deciding the fit alone.
 */
public fun relativeFit(points: List<Pair<List<Double>, Double>>): RelativeFit {
    val scaled = points.map { (terms, value) -> terms.map { it / value } }
    val count = scaled.first().size
    val matrix = Array(count) { row ->
        DoubleArray(count + 1) { column ->
            scaled.sumOf { it[row] * if (column < count) it[column] else 1.0 }
        }
    }
    val fit = RelativeFit(solve(matrix), 0.0)
    return fit.copy(
        largestError = points.maxOf { (terms, value) -> abs(fit.at(terms) - value) / value },
    )
}

private fun solve(matrix: Array<DoubleArray>): List<Double> {
    for (pivot in matrix.indices) {
        val largest = (pivot until matrix.size).maxBy { abs(matrix[it][pivot]) }
        matrix[pivot] = matrix[largest].also { matrix[largest] = matrix[pivot] }
        require(matrix[pivot][pivot] != 0.0) { "the terms depend on each other; add sizes" }
        for (row in matrix.indices) {
            if (row == pivot) continue
            val factor = matrix[row][pivot] / matrix[pivot][pivot]
            matrix[row].indices.forEach { matrix[row][it] -= factor * matrix[pivot][it] }
        }
    }
    return matrix.indices.map { matrix[it].last() / matrix[it][it] }
}
