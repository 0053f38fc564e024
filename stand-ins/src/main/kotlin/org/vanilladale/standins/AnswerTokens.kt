package org.vanilladale.standins

import java.security.MessageDigest

/**
 * Deterministic answer of the stand-in engine: each token depends on the prompt and its position,
 * so that a test can tell a foreign or missing piece from the right one.
 */
public object AnswerTokens {
    private const val TOKEN_BYTES = 3

    /** Returns token [index] of the answer to [prompt], followed by a space. */
    public fun token(prompt: ByteArray, index: Int): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update(prompt)
        val bytes = digest.digest(index.toString().toByteArray())
        return bytes.take(TOKEN_BYTES).joinToString("", postfix = " ") { "%02x".format(it) }
    }

    /** Returns the first [count] tokens of the answer to [prompt]. */
    public fun answer(prompt: ByteArray, count: Int): String =
        (0 until count).joinToString("") { token(prompt, it) }

    /** Returns how many whole tokens [text] holds. */
    public fun count(text: String): Int = text.count { it == ' ' }
}
