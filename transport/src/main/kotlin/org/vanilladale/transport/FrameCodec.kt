package org.vanilladale.transport

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.nio.ByteBuffer
import java.util.zip.CRC32C
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.vanilladale.schema.Frame

/** Converts frames to CBOR and back. */
@OptIn(ExperimentalSerializationApi::class)
public object FrameCodec {
    /** Largest frame in bytes, without the four bytes of its length. */
    public const val MAXIMUM_FRAME_BYTES: Int = 1 shl 20

    private val cbor = Cbor {
        alwaysUseByteString = true
        useDefiniteLengthEncoding = true
        preferCborLabelsOverNames = true
    }

    // Frame.serializer() builds the table of all frame types anew at each call.
    private val serializer = Frame.serializer()

    /** Returns the CBOR form of [frame] followed by its CRC-32C. */
    public fun encode(frame: Frame): ByteArray {
        val payload = cbor.encodeToByteArray(serializer, frame)
        val bytes = payload.copyOf(payload.size + Int.SIZE_BYTES)
        ByteBuffer.wrap(bytes).putInt(payload.size, checksum(bytes, payload.size))
        return bytes
    }

    /** Reads one frame; a wrong checksum and unknown types and fields are faults. */
    public fun decode(bytes: ByteArray): Either<FrameFault, Frame> {
        val size = bytes.size - Int.SIZE_BYTES
        // Without the checksum the CBOR library reads a missing last byte of a number as 31.
        if (size < 1 || ByteBuffer.wrap(bytes).getInt(size) != checksum(bytes, size)) {
            return FrameFault.Malformed("wrong checksum").left()
        }
        return decodePayload(bytes.copyOf(size))
    }

    // The CBOR library reports broken input with exceptions of several unrelated kinds, and with a
    // stack overflow for deeply nested lengths.
    @Suppress("TooGenericExceptionCaught")
    internal fun decodePayload(payload: ByteArray): Either<FrameFault, Frame> = try {
        cbor.decodeFromByteArray(serializer, payload).right()
    } catch (malformed: RuntimeException) {
        FrameFault.Malformed(malformed.message).left()
    } catch (_: StackOverflowError) {
        FrameFault.Malformed("nested too deeply").left()
    }

    private fun checksum(bytes: ByteArray, size: Int): Int {
        val checksum = CRC32C()
        checksum.update(bytes, 0, size)
        return checksum.value.toInt()
    }
}
