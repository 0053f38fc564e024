package org.vanilladale.core.once

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.schema.Binding
import org.vanilladale.schema.BindingText
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.RequestKey
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.WorkspaceId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull

class BindingTest {
    private val random = Random(1)
    private val live =
        List(3) { LiveTarget(TargetId.parse("orders-$it"), Incarnation(it.toLong())) }
    private val keys = List(3_000) {
        BoundKey(WorkspaceId.parse("w${it % 7}"), RequestKey.parse("k$it"))
    }

    private fun binding(name: String) = Binding(
        PoolName.parse(name),
        TargetId.parse("$name-1"),
        Incarnation(random.nextLong()),
        random.nextLong(),
        Deadline.fromEpochMilliseconds(random.nextLong()),
    )

    @Test
    fun `a binding is restored from its text form`() {
        listOf("orders", "zamówienia-łódź", "x".repeat(120)).forEach { name ->
            repeat(200) {
                val binding = binding(name)
                expectThat(BindingCodec.parseOrNull(BindingCodec.encode(binding)))
                    .isEqualTo(binding)
            }
        }
    }

    /** Guards against a damaged binding that refers to another ledger. */
    @Test
    fun `a changed, truncated or padded text is rejected`() {
        repeat(50) {
            val text = BindingCodec.encode(binding("orders")).text
            val changed = text.indices.map { at ->
                text.replaceRange(at, at + 1, if (text[at] == 'A') "B" else "A")
            }
            val cut = (1 until text.length).map { text.take(it) }
            (changed + cut + "$text=" + "$text==" + "!" + "ABCDEF").forEach {
                expectThat(BindingCodec.parseOrNull(BindingText.parse(it))).isNull()
            }
        }
    }

    /** Guards against a choice that moves keys of healthy targets when another target is lost. */
    @Test
    fun `only the keys of a lost target move and a restart moves no keys`() {
        val restarted = live.map { it.copy(incarnation = Incarnation(99)) }
        val counts = IntArray(live.size)
        keys.forEach { key ->
            val chosen = checkNotNull(BindingTargetChoice.choose(key, live))
            counts[live.indexOf(chosen)]++
            expectThat(BindingTargetChoice.choose(key, restarted.shuffled(random))?.target)
                .isEqualTo(chosen.target)
            if (chosen != live[0]) {
                expectThat(BindingTargetChoice.choose(key, live.drop(1))).isEqualTo(chosen)
            }
        }
        expectThat(counts.max() - counts.min()).isLessThan(300)
        expectThat(BindingTargetChoice.choose(keys[0], emptyList())).isNull()
    }
}
