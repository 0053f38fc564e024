package org.vanilladale.standins

/** Popularity of the experts of all layers, each layer with its own seed. */
internal class GroupLoad(layers: Int, experts: Int, seed: Int) {
    private val layers = List(layers) { DriftingPopularity(experts, seed + it) }

    fun drift() {
        layers.forEach { it.drift() }
    }

    /** Returns the share of each expert in the tokens of its layer. */
    fun shares(): List<Double> = layers.flatMap { it.shares() }

    /**
     * Returns the part of each layer's tokens that [rank] computes under [map]. The copies of an
     * expert share its tokens as the map says.
     */
    fun loadsOf(rank: Int, map: EngineMap): List<Double> {
        var expert = 0
        return layers.map { layer ->
            layer.shares().sumOf { share -> share * map.partOf(rank, expert++) }
        }
    }
}
