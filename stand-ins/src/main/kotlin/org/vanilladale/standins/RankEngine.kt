package org.vanilladale.standins

/** A map that a rank holds for or switches to; term 0 when the engine ignores fencing numbers. */
internal data class HeldMap(val term: Long, val digest: String, val switchStep: Long)

/**
 * Expert map state of one rank.
 *
 * With [keepsFencing] an order of a lower term than the highest seen is rejected; otherwise every
 * order is obeyed, a late one to activate as soon as possible.
 */
internal class RankEngine(
    private val keepsFencing: Boolean,
    initial: String,
    initialMap: EngineMap,
) {
    var activeDigest: String = initial
        private set
    var activeMap: EngineMap = initialMap
        private set
    private val preloaded = object : LinkedHashMap<String, EngineMap>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, EngineMap>): Boolean =
            size > PRELOADED_MAPS && eldest.key != held?.digest
    }
    var held: HeldMap? = null
        private set
    var activated: Boolean = false
        private set
    var term: Long = 0
        private set
    var step: Long = 0
        private set
    var entered: Boolean = false
        private set
    var stalledUntil: Long = 0
    var slowness: Double = 1.0

    /** Next step to enter. */
    val nextStep: Long get() = if (entered) step + 1 else step

    val isHolding: Boolean
        get() = !entered && !activated && (held?.switchStep ?: Long.MAX_VALUE) <= step

    /** Takes the fencing number of an order; returns false for a stale one. */
    fun accept(orderTerm: Long): Boolean {
        if (keepsFencing && orderTerm < term) return false
        term = maxOf(term, orderTerm)
        return true
    }

    /** Notes the loaded map [digest]. */
    fun preload(digest: String, map: EngineMap) {
        preloaded[digest] = map
    }

    /** Holds for [map] or switches to it, if the rank has loaded it. */
    fun hold(map: HeldMap, activate: Boolean) {
        if (map.digest !in preloaded) return
        val late = map.switchStep < nextStep
        if (late && (keepsFencing || !activate)) return
        held = if (keepsFencing) map else map.copy(term = 0)
        activated = activate
    }

    fun release(map: HeldMap) {
        val current = held ?: return
        if (current.digest != map.digest || current.switchStep != map.switchStep) return
        held = null
        activated = false
    }

    /** Enters the next step unless the rank is stalled, holds or has entered it. */
    fun tryEnter(now: Long) {
        if (entered || now < stalledUntil || isHolding) return
        held?.takeIf { activated && it.switchStep <= step }?.let {
            activeDigest = it.digest
            activeMap = preloaded.getValue(it.digest)
            held = null
            activated = false
        }
        entered = true
    }

    fun completeStep() {
        entered = false
        step++
    }

    private companion object {
        const val PRELOADED_MAPS = 16
    }
}
