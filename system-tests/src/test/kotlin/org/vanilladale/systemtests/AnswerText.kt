package org.vanilladale.systemtests

import io.vertx.core.json.JsonObject
import java.security.MessageDigest

/** An answer as a caller puts it together from its NDJSON lines. */
data class AnswerText(val text: String, val length: Long?, val digest: String?) {
    companion object {
        /** Joins the lines; a line with an unexpected offset is an error. */
        fun fromLines(body: String): AnswerText {
            val text = StringBuilder()
            var last = JsonObject()
            body.lines().filter { it.isNotBlank() }.map { JsonObject(it) }.forEach { line ->
                line.getString("text")?.let { piece ->
                    check(line.getLong("offset") == text.length.toLong()) { "gap at $line" }
                    text.append(piece)
                }
                last = line
            }
            return AnswerText(text.toString(), last.getLong("length"), last.getString("digest"))
        }

        /** The whole answer with this text. */
        fun ofWhole(text: String): AnswerText {
            val digest = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
            val hexadecimal = digest.joinToString("") { "%02x".format(it) }
            return AnswerText(text, text.length.toLong(), hexadecimal)
        }
    }
}
