package org.vanilladale.core.hash

import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Returns the SHA-256 digest of [fields].
 *
 * Each field is preceded by its length, so that two different lists never have the same input to
 * the hash function.
 */
public fun sha256OfFields(fields: List<ByteArray>): ByteArray {
    val digest = MessageDigest.getInstance("SHA-256")
    fields.forEach { field ->
        digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(field.size).array())
        digest.update(field)
    }
    return digest.digest()
}

/** Formats [bytes] as lower-case hexadecimal digits. */
public fun hexadecimalOf(bytes: ByteArray): String = HexFormat.of().formatHex(bytes)
