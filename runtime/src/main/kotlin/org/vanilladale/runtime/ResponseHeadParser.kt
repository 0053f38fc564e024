package org.vanilladale.runtime

/**
 * Reads the heads of one response byte by byte, those of interim responses included, and checks the
 * names of their fields.
 *
 * Lines end with a line feed, with or without a carriage return, as they do for Netty.
 */
internal class ResponseHeadParser {
    private enum class State {
        BEFORE_HEAD,
        STATUS_LINE,
        LINE_START,
        EMPTY_LINE,
        FIELD_NAME,
        FIELD_VALUE,
        BODY,
        MALFORMED,
    }

    private var state = State.BEFORE_HEAD
    private val statusLine = StringBuilder()

    /** True once the name of a field was not a token (RFC 9110, section 5.1). */
    val isMalformed: Boolean get() = state == State.MALFORMED

    /** Reads [byte] and returns whether the next one still matters. */
    fun accept(byte: Byte): Boolean {
        state = next(byte.toInt().toChar())
        return state != State.BODY && state != State.MALFORMED
    }

    private fun next(character: Char): State = when (state) {
        State.BEFORE_HEAD -> if (character <= ' ') State.BEFORE_HEAD else beginHead(character)
        State.STATUS_LINE -> continueStatusLine(character)
        State.LINE_START -> beginLine(character)
        State.EMPTY_LINE -> if (character == '\n') endHead() else State.MALFORMED
        State.FIELD_NAME -> continueName(character)
        State.FIELD_VALUE -> if (character == '\n') State.LINE_START else State.FIELD_VALUE
        State.BODY, State.MALFORMED -> state
    }

    private fun beginHead(character: Char): State {
        statusLine.clear().append(character)
        return State.STATUS_LINE
    }

    private fun continueStatusLine(character: Char): State {
        if (character == '\n') return State.LINE_START
        if (statusLine.length < MAX_STATUS_LINE_CHARACTERS) statusLine.append(character)
        return State.STATUS_LINE
    }

    private fun beginLine(character: Char): State = when (character) {
        '\n' -> endHead()
        '\r' -> State.EMPTY_LINE
        else -> if (isTokenCharacter(character)) State.FIELD_NAME else State.MALFORMED
    }

    private fun continueName(character: Char): State = when {
        character == ':' -> State.FIELD_VALUE
        isTokenCharacter(character) -> State.FIELD_NAME
        else -> State.MALFORMED
    }

    /** Another head follows the one of an interim response. */
    private fun endHead(): State =
        if (FINAL_STATUS_LINE.containsMatchIn(statusLine)) State.BODY else State.BEFORE_HEAD

    private fun isTokenCharacter(character: Char): Boolean =
        character in 'a'..'z' || character in 'A'..'Z' || character in '0'..'9' ||
            character in TOKEN_PUNCTUATION

    private companion object {
        val FINAL_STATUS_LINE = Regex("""^\S+\s+[2-9]\d\d(\s|$)""")
        const val TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~"

        /** Enough for the version and the status, which come before the reason phrase. */
        const val MAX_STATUS_LINE_CHARACTERS = 64
    }
}
