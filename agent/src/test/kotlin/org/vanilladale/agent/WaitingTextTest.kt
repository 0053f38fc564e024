package org.vanilladale.agent

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

/** Guards against lost or delayed text of an engine and against its growth without bound. */
class WaitingTextTest {
    private val changes = mutableListOf<String>()
    private val waiting = WaitingText(10, { changes += "pause" }, { changes += "resume" })

    private fun passOn(onPiece: (String) -> Unit = {}): Pair<List<String>, TargetOutcome> {
        val pieces = mutableListOf<String>()
        val outcome = runBlocking {
            waiting.passOn {
                pieces += it
                onPiece(it)
            }
        }
        return pieces to outcome
    }

    @Test
    fun `pieces that wait are taken as one before the end`() {
        listOf("ab ", "cd ", "ef ").forEach { waiting.add(it) }
        waiting.end(TargetOutcome.Completed)
        expectThat(passOn()).isEqualTo(listOf("ab cd ef ") to TargetOutcome.Completed)
    }

    @Test
    fun `each piece is passed on at once when none waits`() {
        waiting.add("1")
        val (pieces, _) = passOn {
            val next = it.toInt() + 1
            if (next < 5) waiting.add("$next") else waiting.end(TargetOutcome.Completed)
        }
        expectThat(pieces).containsExactly("1", "2", "3", "4")
    }

    @Test
    fun `a break keeps the text before it and a later end changes nothing`() {
        waiting.add("ab")
        waiting.end(TargetOutcome.Broken("reset"))
        waiting.end(TargetOutcome.Completed)
        expectThat(passOn()).isEqualTo(listOf("ab") to TargetOutcome.Broken("reset"))
    }

    @Test
    fun `the engine is stopped once above the limit and goes on when the text is taken`() {
        repeat(4) { waiting.add("12345") }
        expectThat(changes).containsExactly("pause")
        waiting.end(TargetOutcome.Completed)
        passOn()
        expectThat(changes).containsExactly("pause", "resume")
    }
}
