package org.vanilladale.standins

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject

/** Prefix cache of the stand-in engine with limited memory; publishes its changes as events. */
internal class PrefixCache(private val capacity: Int) {
    private class Event(val number: Long, val json: JsonObject)

    private val prefixes = LinkedHashSet<String>()
    private val events = ArrayDeque<Event>()
    private var lastNumber = 0L

    /** Uses [prefix] and returns true when it was cached. */
    fun use(prefix: String): Boolean {
        val hit = prefixes.remove(prefix)
        prefixes += prefix
        if (!hit) {
            publish(prefix, stored = true)
            if (prefixes.size > capacity) {
                val oldest = prefixes.first()
                prefixes -= oldest
                publish(oldest, stored = false)
            }
        }
        return hit
    }

    /** Returns the events after [number], as far as they are still kept. */
    fun eventsAfter(number: Long): JsonObject = JsonObject()
        .put("last", lastNumber)
        .put("events", JsonArray(events.filter { it.number > number }.map { it.json }))

    private fun publish(prefix: String, stored: Boolean) {
        lastNumber += 1
        val json = JsonObject()
            .put("prefix", prefix)
            .put("stored", stored)
            .put("raisedAt", System.currentTimeMillis())
        events.addLast(Event(lastNumber, json))
        if (events.size > KEPT_EVENTS) events.removeFirst()
    }

    private companion object {
        /** A reader that is late by more than this misses events. */
        const val KEPT_EVENTS = 256
    }
}
