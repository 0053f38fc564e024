package org.vanilladale.bench

import kotlin.math.abs
import kotlinx.serialization.Serializable

/**
 * Least-squares line through measured points.
 *
 * @property largestError largest difference of a point from the line, relative to the point
 */
@Serializable
public data class LinearFit(val intercept: Double, val slope: Double, val largestError: Double)

/** Returns the line through [points] (x, y), of which at least two must differ in x. */
public fun linearFit(points: List<Pair<Double, Double>>): LinearFit {
    val meanX = points.map { it.first }.average()
    val meanY = points.map { it.second }.average()
    val spreadX = points.sumOf { (x, _) -> (x - meanX) * (x - meanX) }
    require(spreadX > 0) { "a fit needs points at two sizes or more; measure another size" }
    val slope = points.sumOf { (x, y) -> (x - meanX) * (y - meanY) } / spreadX
    val intercept = meanY - slope * meanX
    val error = points.maxOf { (x, y) -> abs(intercept + slope * x - y) / y }
    return LinearFit(intercept, slope, error)
}
