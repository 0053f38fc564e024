package org.vanilladale.standins

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject

/**
 * Ranks of each expert's copies with the part of the expert's tokens that each copy takes. The
 * experts of all layers are numbered through.
 */
internal class EngineMap private constructor(
    private val placement: List<Int>,
    private val copies: List<Int>,
    private val weights: List<Int>,
) {
    private val parts: List<Map<Int, Double>>

    init {
        var next = 0
        parts = copies.map { count ->
            val range = next until next + count
            next += count
            val sum = range.sumOf { weights[it] }.toDouble()
            range.associate { placement[it] to weights[it] / sum }
        }
    }

    val expertCount: Int get() = copies.size

    /** Fingerprint of every copy and weight. */
    val fingerprint: String =
        Integer.toHexString(listOf(placement, copies, weights).hashCode())

    fun holds(rank: Int, expert: Int): Boolean = rank in parts[expert]

    /** Returns the part of the tokens of [expert] that [rank] computes. */
    fun partOf(rank: Int, expert: Int): Double = parts[expert][rank] ?: 0.0

    /** Returns the copies on [rank] that [earlier] does not have. */
    fun copiesMissingIn(earlier: EngineMap, rank: Int): Int =
        parts.indices.count { holds(rank, it) && !earlier.holds(rank, it) }

    fun toJson(): JsonObject = JsonObject()
        .put("placement", JsonArray(placement))
        .put("copies", JsonArray(copies))
        .put("weights", JsonArray(weights))

    companion object {
        /** Returns one copy of each expert, the experts of each layer on the ranks in turn. */
        fun evenly(layers: Int, experts: Int, ranks: Int): EngineMap {
            val placement = List(layers * experts) { it % experts % ranks }
            return EngineMap(placement, placement.map { 1 }, placement.map { 1 })
        }

        /** Reads `{placement, copies, weights}`; without copies one each, without weights even. */
        fun fromJson(json: JsonObject): EngineMap {
            val placement = numbers(json, "placement")
            val copies = numbers(json, "copies").ifEmpty { placement.map { 1 } }
            val weights = numbers(json, "weights").ifEmpty { placement.map { 1 } }
            return EngineMap(placement, copies, weights)
        }

        private fun numbers(json: JsonObject, name: String): List<Int> =
            json.getJsonArray(name, JsonArray()).map { (it as Number).toInt() }
    }
}
