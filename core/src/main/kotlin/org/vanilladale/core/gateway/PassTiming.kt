package org.vanilladale.core.gateway

/**
 * Duration of the passes of a rank group, derived from the gaps between the events of its streams.
 *
 * @property milliseconds observed duration of a pass
 * @property slowdown ratio of the observed to the modelled duration; greater than 1 while the
 *   demand is uneven or a rank is slow
 */
public data class PassTiming(val milliseconds: Double, val slowdown: Double)
