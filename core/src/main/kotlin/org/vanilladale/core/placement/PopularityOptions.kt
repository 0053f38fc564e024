package org.vanilladale.core.placement

/**
 * Smoothing of expert popularity.
 *
 * @property fastMilliseconds time scale that shows a sudden shift
 * @property slowMilliseconds time scale that averages out noise and follows drift
 * @property shiftDistance share of tokens that must have changed expert to count as a shift
 */
public data class PopularityOptions(
    val fastMilliseconds: Long = 60_000,
    val slowMilliseconds: Long = 150_000,
    val shiftDistance: Double = 0.06,
)
