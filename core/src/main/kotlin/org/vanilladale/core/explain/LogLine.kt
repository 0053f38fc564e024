package org.vanilladale.core.explain

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull

/**
 * One line of a gateway's log.
 *
 * @property time milliseconds since the epoch, according to the clock of [vm]
 * @property vm name of the VM whose process wrote the line
 * @property event logged event, which has the field `kind`
 */
public class LogLine private constructor(
    public val time: Long,
    public val vm: String,
    public val event: JsonObject,
) {
    /** Kind of the event; empty if it has none. */
    public val kind: String get() = textOrNull("kind").orEmpty()

    /** Returns the field [name] of the event as text, or null if the event has no such field. */
    public fun textOrNull(name: String): String? = event[name]?.jsonPrimitive?.contentOrNull

    public companion object {
        /**
         * Parses [text], which may start with a prefix of a log collector. Returns null if [text]
         * is not a line of a gateway's log.
         */
        public fun parseOrNull(text: String): LogLine? {
            val start = text.indexOf('{')
            if (start < 0) return null
            return try {
                fromJsonOrNull(Json.parseToJsonElement(text.substring(start)))
            } catch (_: SerializationException) {
                // Stack traces and truncated lines carry no information about a request.
                null
            }
        }

        private fun fromJsonOrNull(element: JsonElement): LogLine? {
            val line = element as? JsonObject ?: return null
            val time = line["time"]?.jsonPrimitive?.longOrNull ?: return null
            val vm = line["vm"]?.jsonPrimitive?.contentOrNull ?: return null
            val event = line["event"] as? JsonObject ?: return null
            return LogLine(time, vm, event)
        }
    }
}
