package org.vanilladale.transport

/**
 * Why a frame could not be read.
 *
 * @property code label of the counter
 * @property message what was found and what to do
 */
public sealed class FrameFault(public val code: String, public val message: String) {
    /** The announced length is outside the allowed range. */
    public class Length(length: Int) :
        FrameFault(
            "frame-length",
            "frame of $length bytes; the limit is ${FrameCodec.MAXIMUM_FRAME_BYTES}, " +
                "check that the peer speaks this protocol",
        )

    /** The bytes are no known frame: unknown type or field, or broken CBOR. */
    public class Malformed(detail: String?) :
        FrameFault(
            "frame-malformed",
            "frame cannot be decoded (${detail ?: "no detail"}); " +
                "run the same version on both sides",
        )
}
