package org.vanilladale.bench.call

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.vanilladale.core.stream.AnswerAssembler
import org.vanilladale.schema.AnswerLine
import org.vanilladale.schema.RefusalAnswer

/**
 * Joins the NDJSON lines of an answer, over several streams when one of them was interrupted.
 *
 * Each line has to continue the text held; length and digest of the end line have to match it.
 */
public class AnswerReassembly {
    private val held = StringBuilder()

    /** Text that has arrived in order so far. */
    public val text: String get() = held.toString()

    /** Position of the next line, in UTF-16 code units. */
    public val offset: Long get() = held.length.toLong()

    /** Takes one line of the answer. */
    public fun take(line: String): LineResult {
        val parsed = try {
            json.decodeFromString(AnswerLine.serializer(), line)
        } catch (_: SerializationException) {
            return LineResult.Damaged("an unreadable line of ${line.length} characters")
        }
        val refusal = parsed.refusal
        val piece = parsed.text
        return when {
            refusal != null -> LineResult.Refused(refusal)
            parsed.end == true -> end(parsed)
            piece != null -> append(parsed.offset, piece)
            else -> LineResult.Damaged("a line without text, end or refusal")
        }
    }

    /** Drops the text held, so that the answer starts again at offset 0. */
    public fun restart() {
        held.clear()
    }

    private fun append(at: Long?, piece: String): LineResult = if (at == offset) {
        held.append(piece)
        LineResult.Continues
    } else {
        LineResult.Damaged("a line at offset $at instead of $offset")
    }

    private fun end(line: AnswerLine): LineResult {
        val digest = AnswerAssembler.digestOf(text).text
        return when {
            line.length != offset -> LineResult.Damaged("length ${line.length} instead of $offset")
            line.digest != digest -> LineResult.Damaged("digest ${line.digest} instead of $digest")
            else -> LineResult.Whole
        }
    }

    private companion object {
        /** Later versions may add fields to a line. */
        val json = Json { ignoreUnknownKeys = true }
    }
}

/** What a line of an answer means to the caller. */
public sealed interface LineResult {
    /** More lines follow. */
    public data object Continues : LineResult

    /** The answer is whole. */
    public data object Whole : LineResult

    /** The entry ends the answer with a refusal. */
    public data class Refused(val refusal: RefusalAnswer) : LineResult

    /** The line doesn't fit the text held; [found] says how. */
    public data class Damaged(val found: String) : LineResult
}
