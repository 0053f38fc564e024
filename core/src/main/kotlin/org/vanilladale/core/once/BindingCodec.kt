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
 * Converts bindings to the text form that callers receive, and back.
 *
 * The text consists of a CRC-32 checksum and the CBOR encoding of the binding, encoded as base64url
 * without padding. The checksum detects damaged text. It does not authenticate the caller.
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

    /** Parses [text]; returns null unless it is exactly the text that [encode] returns. */
    public fun parseOrNull(text: BindingText): Binding? = try {
        val bytes = Base64.getUrlDecoder().decode(text.text)
        if (bytes.size <= Int.SIZE_BYTES) {
            null
        } else {
            val content = bytes.copyOfRange(Int.SIZE_BYTES, bytes.size)
            val intact = ByteBuffer.wrap(bytes).getInt() == checksumOf(content)
            // Encoding the result again rejects other forms of the same bytes, such as padding.
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
