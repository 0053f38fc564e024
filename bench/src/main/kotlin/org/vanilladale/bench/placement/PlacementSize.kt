package org.vanilladale.bench.placement

import kotlinx.serialization.Serializable

private const val SPARE_SHARE = 8

/** Size of a group: ranks, experts of a layer, and memory slots of a rank. */
@Serializable
public data class PlacementSize(val ranks: Int, val experts: Int) {
    private val perRank: Int get() = (experts + ranks - 1) / ranks

    /** Slots of a rank: its even part of the experts and an eighth more, at least one. */
    val slots: Int get() = perRank + (perRank / SPARE_SHARE).coerceAtLeast(1)

    override fun toString(): String = "$ranks x $experts"

    internal companion object {
        /** Parses a text such as `32x256`. */
        fun parse(text: String): PlacementSize {
            val parts = text.split("x").mapNotNull { it.toIntOrNull() }
            require(parts.size == 2 && parts.all { it > 0 }) {
                "a size is ranks x experts, such as 32x256; found '$text'"
            }
            return PlacementSize(parts[0], parts[1])
        }
    }
}
