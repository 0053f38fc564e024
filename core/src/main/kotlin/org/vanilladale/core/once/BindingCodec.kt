package org.vanilladale.core.once

import java.nio.ByteBuffer
import java.util.Base64
import java.util.zip.CRC32
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.vanilladale.schema.Binding
import org.vanilladale.schema.BindingText

/**
 * Converts bindings to the text that callers carry and back.
 *
 * The text is base64url without padding over a CRC-32 checksum and the CBOR form. The checksum
 * finds damaged text; it does not authenticate the caller.
 */
@OptIn(ExperimentalSerializationApi::class)
public object BindingCodec {
    /**
     * Returns the text form of [binding].
     *
     * @throws IllegalArgumentException if the names in [binding] make the text longer than
     * [BindingText.MAXIMUM_LENGTH]
     */
    public fun encode(binding: Binding): BindingText {
        val content = Cbor.encodeToByteArray(binding)
        val bytes = ByteBuffer.allocate(Int.SIZE_BYTES + content.size)
            .putInt(checksumOf(content))
            .put(content)
            .array()
        return BindingText.parse(Base64.getUrlEncoder().withoutPadding().encodeToString(bytes))
    }

    /** Returns the binding in [text], or null unless [text] is exactly what [encode] returns. */
    public fun parseOrNull(text: BindingText): Binding? = try {
        val bytes = Base64.getUrlDecoder().decode(text.text)
        if (bytes.size <= Int.SIZE_BYTES) {
            null
        } else {
            val content = bytes.copyOfRange(Int.SIZE_BYTES, bytes.size)
            val intact = ByteBuffer.wrap(bytes).getInt() == checksumOf(content)
            // The second encoding refuses other spellings of the same bytes, such as padding.
            if (intact) decode(content).takeIf { encode(it) == text } else null
        }
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }

    private fun decode(content: ByteArray): Binding = Cbor.decodeFromByteArray(content)

    private fun checksumOf(content: ByteArray): Int =
        CRC32().apply { update(content) }.value.toInt()
}
