package org.vanilladale.systemtests.recovery

import io.vertx.core.json.JsonObject
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * The entries that one caller knows: the list of the last entry that it asked, kept as long as the
 * list says, and asked for anew after a failure.
 */
class KnownEntries(
    private val caller: RecoveryCaller,
    private val dataCentre: String,
    private val seeds: List<String>,
    private val random: Random,
) {
    private data class Listed(val address: String, val isNear: Boolean)

    private val avoidedUntil = ConcurrentHashMap<String, Long>()
    private var listed = emptyList<Listed>()
    private var keepUntil = 0L

    /** Addresses of the list that is kept now. */
    val addresses: List<String> get() = listed.map { it.address }

    /** Returns the entry for the next request: one of the own data centre while there is one. */
    fun next(): String {
        if (System.currentTimeMillis() >= keepUntil) refresh()
        val usable = listed.filter { !isAvoided(it.address) }
        val near = usable.filter { it.isNear }.ifEmpty { usable }
        return near.randomOrNull(random)?.address ?: (addresses + seeds).random(random)
    }

    /** Avoids [entry] for a while and asks another one for the list. */
    fun failed(entry: String) {
        avoidedUntil[entry] = System.currentTimeMillis() + AVOID_MILLISECONDS
        keepUntil = 0
    }

    private fun refresh() {
        val asked = (addresses + seeds).distinct().shuffled(random).sortedBy(::isAvoided)
        val answer = asked.firstNotNullOfOrNull { entry ->
            caller.entriesOrNull(entry, dataCentre)
                ?.takeIf { !it.getJsonArray("entries").isEmpty }
        } ?: return
        listed = answer.getJsonArray("entries").map { it as JsonObject }.map {
            Listed(it.getString("address"), it.getString("dataCentre") == dataCentre)
        }
        keepUntil = answer.getLong("keepUntil")
    }

    private fun isAvoided(entry: String) = (avoidedUntil[entry] ?: 0) > System.currentTimeMillis()

    private companion object {
        const val AVOID_MILLISECONDS = 2_000L
    }
}
