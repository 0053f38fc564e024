package org.vanilladale.core.hash

import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Returns the SHA-256 digest over [fields].
 *
 * Each field is preceded by its length, so that two different lists never give the same input.
 */
public fun sha256OfFields(fields: List<ByteArray>): ByteArray {
    val digest = MessageDigest.getInstance("SHA-256")
    fields.forEach { field ->
        digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(field.size).array())
        digest.update(field)
    }
    return digest.digest()
}

/** Returns [bytes] in lower-case hexadecimal. */
public fun hexadecimalOf(bytes: ByteArray): String = HexFormat.of().formatHex(bytes)
