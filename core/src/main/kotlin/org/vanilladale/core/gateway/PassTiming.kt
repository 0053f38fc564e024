package org.vanilladale.core.gateway

/**
 * Passes of a rank group, as the pauses between the events of its streams show them.
 *
 * @property milliseconds duration of a pass
 * @property slowdown duration over the modelled one; passes last longer while demand is uneven or a
 *   rank is slow
 */
public data class PassTiming(val milliseconds: Double, val slowdown: Double)
