package org.vanilladale.transport

import kotlin.random.Random
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Test
import org.vanilladale.schema.Answer
import org.vanilladale.schema.Attempt
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.Load
import org.vanilladale.schema.RequestId
import org.vanilladale.schema.RequestKey
import org.vanilladale.schema.RequestKind
import org.vanilladale.schema.Submit
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.WorkspaceId
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Guards against frames that bring the reader down instead of closing one connection. */
class FrameCodecTest {
    private val samples: List<Frame> = listOf(
        Answer(RequestId(7), Attempt(1), 12, "podwiązka"),
        Heartbeat(
            nextMilliseconds = 5_000,
            load = Load(1, 2, 8, reportedAt = Timestamp.fromEpochMilliseconds(4)),
        ),
        Submit(
            RequestId(1),
            Attempt(1),
            WorkspaceId.parse("workspace-1"),
            RequestKey.parse("key-1"),
            RequestKind.parse("draft"),
            "/",
            idempotent = true,
            priority = 5,
            deadline = Deadline.fromEpochMilliseconds(1),
            offset = 0,
            body = byteArrayOf(1, 2, 3),
        ),
    )

    @Test
    fun `frames survive encoding`() {
        samples.filterNot { it is Submit }.forEach { frame ->
            expectThat(FrameCodec.decode(FrameCodec.encode(frame)).getOrNull()).isEqualTo(frame)
        }
    }

    /** Guards the control traffic: a field with a long name in each heartbeat would exceed it. */
    @Test
    fun `a heartbeat stays small`() {
        val now = Timestamp.fromEpochMilliseconds(1_796_000_000_000)
        val load = Load(8, 32, 8, reportedAt = now, serviceMicroseconds = 800_000)
        val sizes = mapOf(
            "entry to agent" to FrameCodec.encode(Heartbeat(30_000)).size + Int.SIZE_BYTES,
            "agent to entry" to FrameCodec.encode(
                Heartbeat(30_000, 8_000, load = load),
            ).size + Int.SIZE_BYTES,
        )
        println("heartbeat bytes with length and checksum: $sizes")
        expectThat(sizes.values.max()).isLessThan(128)
    }

    @Test
    fun `every truncated frame is a fault`() {
        samples.map { FrameCodec.encode(it) }.forEach { bytes ->
            bytes.indices.forEach { length ->
                expectThat(FrameCodec.decode(bytes.copyOf(length)).leftOrNull())
                    .isA<FrameFault.Malformed>()
            }
        }
    }

    @Test
    fun `a frame with flipped bytes is a frame or a fault and never throws`() {
        val random = Random(20_261_204)
        repeat(20_000) {
            val bytes = FrameCodec.encode(samples.random(random))
            repeat(random.nextInt(1, 4)) {
                bytes[random.nextInt(bytes.size)] =
                    random.nextInt().toByte()
            }
            FrameCodec.decode(bytes)
            FrameCodec.decodePayload(bytes.copyOf(bytes.size - 4))
        }
    }

    @Property(seed = "20261204", tries = 500, shrinking = ShrinkingMode.OFF)
    fun `random bytes never throw`(@ForAll @Size(max = 200) bytes: ByteArray) {
        FrameCodec.decode(bytes)
        FrameCodec.decodePayload(bytes)
    }

    @Test
    fun `a data centre name with control characters is refused`() {
        expectThat(DataCentreName.parseOrNull("a\u0000b")).isEqualTo(null)
    }
}
