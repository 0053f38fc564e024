package org.vanilladale.transport

import java.nio.ByteBuffer
import org.vanilladale.schema.Answer
import org.vanilladale.schema.Attempt
import org.vanilladale.schema.RequestId

/**
 * Reads and writes the CBOR form of [Answer] frames, byte for byte as the CBOR library writes it.
 *
 * Nearly all frames are answers, and the library looks up the number of each field by reflection.
 */
internal object AnswerCodec {
    private const val MAJOR_UNSIGNED = 0x00
    private const val MAJOR_TEXT = 0x60
    private const val MAJOR_MASK = 0xE0
    private const val ARGUMENT_MASK = 0x1F
    private const val ONE_BYTE = 24
    private const val TWO_BYTES = 25
    private const val FOUR_BYTES = 26
    private const val EIGHT_BYTES = 27
    private const val BYTE_MASK = 0xFFL
    private const val SHORT_MASK = 0xFFFFL
    private const val INT_MASK = 0xFFFF_FFFFL
    private const val LARGEST_HEAD_BYTES = 9

    private const val REQUEST_FIELD: Byte = 1
    private const val ATTEMPT_FIELD: Byte = 2
    private const val OFFSET_FIELD: Byte = 3
    private const val TEXT_FIELD: Byte = 4
    private const val FIELDS = 4

    /** Array of two, text "Answer", map of four: how each answer frame starts. */
    private val prefix = byteArrayOf(0x82.toByte(), 0x66) + "Answer".toByteArray() + 0xA4.toByte()

    /** Returns the bytes of [answer] and [spare] bytes after them; null for negative numbers. */
    fun encodeOrNull(answer: Answer, spare: Int): ByteArray? {
        if (answer.request.value < 0 || answer.attempt.value < 0 || answer.offset < 0) return null
        val text = answer.text.toByteArray()
        val bytes = ByteArray(
            prefix.size + FIELDS * (1 + LARGEST_HEAD_BYTES) + text.size + spare,
        )
        val buffer = ByteBuffer.wrap(bytes)
        buffer.put(prefix)
        buffer.put(REQUEST_FIELD).putHead(MAJOR_UNSIGNED, answer.request.value)
        buffer.put(ATTEMPT_FIELD).putHead(MAJOR_UNSIGNED, answer.attempt.value.toLong())
        buffer.put(OFFSET_FIELD).putHead(MAJOR_UNSIGNED, answer.offset)
        buffer.put(TEXT_FIELD).putHead(MAJOR_TEXT, text.size.toLong())
        buffer.put(text)
        return bytes.copyOf(buffer.position() + spare)
    }

    /** Reads the first [size] of [bytes]; null when another type or another form of an answer. */
    fun decodeOrNull(bytes: ByteArray, size: Int): Answer? {
        val buffer = ByteBuffer.wrap(bytes, 0, size)
        if (size < prefix.size || prefix.indices.any { buffer.get() != prefix[it] }) return null
        val request = buffer.fieldOrNull(REQUEST_FIELD, MAJOR_UNSIGNED) ?: return null
        val attempt = buffer.fieldOrNull(ATTEMPT_FIELD, MAJOR_UNSIGNED)
            ?.takeIf { it <= Int.MAX_VALUE } ?: return null
        val offset = buffer.fieldOrNull(OFFSET_FIELD, MAJOR_UNSIGNED) ?: return null
        val length = buffer.fieldOrNull(TEXT_FIELD, MAJOR_TEXT)
            ?.takeIf { it == buffer.remaining().toLong() } ?: return null
        val text = String(bytes, buffer.position(), length.toInt(), Charsets.UTF_8)
        return Answer(RequestId(request), Attempt(attempt.toInt()), offset, text)
    }

    private fun ByteBuffer.putHead(major: Int, argument: Long) {
        when {
            argument < ONE_BYTE -> put((major or argument.toInt()).toByte())
            argument <= BYTE_MASK -> put((major or ONE_BYTE).toByte()).put(argument.toByte())
            argument <= SHORT_MASK -> put(
                (major or TWO_BYTES).toByte(),
            ).putShort(argument.toShort())
            argument <= INT_MASK -> put((major or FOUR_BYTES).toByte()).putInt(argument.toInt())
            else -> put((major or EIGHT_BYTES).toByte()).putLong(argument)
        }
    }

    private fun ByteBuffer.fieldOrNull(field: Byte, major: Int): Long? {
        if (remaining() < 2 || get() != field) return null
        val head = get().toInt()
        val argument = head and ARGUMENT_MASK
        val width = if (argument < ONE_BYTE) 0 else 1 shl (argument - ONE_BYTE)
        val fits = width <= Long.SIZE_BYTES && width <= remaining()
        if (head and MAJOR_MASK != major || !fits) return null
        if (width == 0) return argument.toLong()
        var value = 0L
        repeat(width) { value = (value shl Byte.SIZE_BITS) or (get().toLong() and BYTE_MASK) }
        return value.takeIf { it >= 0 }
    }
}
