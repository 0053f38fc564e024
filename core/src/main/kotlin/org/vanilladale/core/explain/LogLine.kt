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
 * @property time milliseconds since the epoch, by the clock of [vm]
 * @property vm the process that wrote the line
 * @property event what it wrote, with the field `kind`
 */
public class LogLine private constructor(
    public val time: Long,
    public val vm: String,
    public val event: JsonObject,
) {
    /** Kind of the event. */
    public val kind: String get() = textOrNull("kind").orEmpty()

    /** Returns the field [name] of the event as text, or null without it. */
    public fun textOrNull(name: String): String? = event[name]?.jsonPrimitive?.contentOrNull

    public companion object {
        /**
         * Parses [text], which may have words of a log collector in front; null for any other text.
         */
        public fun parseOrNull(text: String): LogLine? {
            val start = text.indexOf('{')
            if (start < 0) return null
            return try {
                fromJsonOrNull(Json.parseToJsonElement(text.substring(start)))
            } catch (_: SerializationException) {
                // A stack trace or a line that was cut off tells nothing of a request.
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
