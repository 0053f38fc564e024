package org.vanilladale.core.stream

import java.util.PriorityQueue
import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.schema.Answer
import org.vanilladale.schema.AnswerEnd
import org.vanilladale.schema.Attempt
import org.vanilladale.schema.Frame
import org.vanilladale.schema.RequestId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Values that the assembler of a request expects in the frame that it receives. */
private data class Expected(val request: RequestId, val attempt: Attempt, val text: String)

/** Changes a frame so that one check of the assembler always passes. */
private typealias Rewrite = (Frame, Expected) -> Frame

/**
 * Simulation of the answers to several requests over connections that lose, delay, duplicate,
 * reorder and misroute frames. Engines stall and continue to send later, and each attempt continues
 * the text in a different way.
 */
private class AnswerModel(seed: Int, private val rewrite: Rewrite) {
    private class Event(val at: Long, val order: Long, val run: () -> Unit)

    private inner class Request(number: Int) {
        val id = RequestId(number.toLong())
        val resumeOffset = if (chance(30)) random.nextInt(1, 30) else 0
        val assembler = AnswerAssembler(id, resumeOffset.toLong())
        val pieces = List(10) { "<$number.$it>" }
        var start = AttemptStart(Attempt(0), 0, "")
        var wholeText = ""
        var assembled = ""
        var callerText = ""
        var ended = false

        fun attempt() {
            start = assembler.startAttempt()
            val remaining = pieces.drop(start.delivered.count { it == '>' })
                .map { it.replace(">", "/${start.attempt}>") }
            wholeText = start.delivered + remaining.joinToString("")
            val attempt = start.attempt
            var offset = start.offset
            remaining.forEachIndexed { index, text ->
                send(index * 5L, Answer(id, attempt, offset, text))
                offset += text.length
            }
            val digest = AnswerAssembler.digestOf(wholeText)
            send(remaining.size * 5L, AnswerEnd(id, attempt, wholeText.length.toLong(), digest))
            // The progress deadline of the attempt. The old engine may still send frames after it.
            schedule(random.nextLong(20, 150)) { if (!ended && attempt.value < 40) attempt() }
        }

        fun receive(frame: Frame) {
            val input = rewrite(frame, Expected(id, start.attempt, assembled))
            val step = if (input is Answer) assembler.take(input) else take(input as AnswerEnd)
            when (step) {
                is AssemblyStep.Deliver -> deliver((input as Answer).text, step)
                is AssemblyStep.Complete -> {
                    ended = true
                    complete++
                    val own = if (resumeOffset > 0) wholeText.drop(resumeOffset) else wholeText
                    if (callerText != own) violations += "text not whole"
                }
                is AssemblyStep.Damaged -> {
                    ended = true
                    // Correct engines cause no damage, except for an offset beyond the end.
                    if (step.damage != AnswerDamage.RESUME_BEYOND_END) violations += "damaged"
                }
                is AssemblyStep.Dropped -> dropped++
            }
        }

        private fun take(end: AnswerEnd) = assembler.take(end)

        private fun deliver(text: String, step: AssemblyStep.Deliver) {
            val expectedOffset =
                maxOf(assembled.length, minOf(resumeOffset, assembled.length + text.length))
            assembled += text
            callerText += step.text
            if (step.offset != expectedOffset.toLong()) violations += "offset not contiguous"
            if (!wholeText.startsWith(assembled)) violations += "text of another attempt or request"
        }
    }

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var now = 0L
    private val requests = List(6) { Request(it) }
    val violations = mutableListOf<String>()
    var complete = 0
    var dropped = 0

    private fun chance(percent: Int) = random.nextInt(100) < percent

    private fun schedule(delay: Long, run: () -> Unit) {
        events += Event(now + delay, random.nextLong(), run)
    }

    private fun send(after: Long, frame: Frame) {
        val stall = if (chance(3)) random.nextLong(50, 400) else 0
        repeat(if (chance(5)) 2 else 1) {
            val owner = requests.first { it.id == idOf(frame) }
            val receiver = if (chance(3)) requests.random(random) else owner
            val delay = after + stall + if (chance(5)) random.nextLong(1, 20) else 1
            if (!chance(2)) schedule(delay) { receiver.receive(frame) }
        }
    }

    private fun idOf(frame: Frame) = when (frame) {
        is Answer -> frame.request
        is AnswerEnd -> frame.request
        else -> error("unexpected frame $frame")
    }

    fun run(): AnswerModel {
        requests.forEach { it.attempt() }
        while (true) {
            val event = events.poll() ?: break
            now = event.at
            event.run()
        }
        return this
    }
}

/**
 * Checks invariant I2 of docs/design.md in simulated histories: each caller gets the whole answer
 * to its own request and no part of another one. The simulation runs with all checks of the
 * assembler and with each of them left out.
 */
class AnswerHistoryTest {
    private fun run(name: String, rewrite: Rewrite): List<String> {
        val models = (1..SEEDS).map { AnswerModel(it, rewrite).run() }
        val violations = models.flatMap { it.violations }
        println(
            "stream: %-20s complete %d of %d, dropped frames %d, violations %d %s".format(
                name,
                models.sumOf { it.complete },
                SEEDS * 6,
                models.sumOf { it.dropped },
                violations.size,
                violations.groupingBy { it }.eachCount(),
            ),
        )
        return violations
    }

    private fun ofAttempt(frame: Frame, expected: Expected) = when (frame) {
        is Answer -> frame.copy(attempt = expected.attempt)
        is AnswerEnd -> frame.copy(attempt = expected.attempt)
        else -> frame
    }

    private fun ofRequest(frame: Frame, expected: Expected) = when (frame) {
        is Answer -> frame.copy(request = expected.request)
        is AnswerEnd -> frame.copy(request = expected.request)
        else -> frame
    }

    private fun ofOffset(frame: Frame, expected: Expected) =
        if (frame is Answer) frame.copy(offset = expected.text.length.toLong()) else frame

    private fun ofText(frame: Frame, expected: Expected) = if (frame is AnswerEnd) {
        val digest = AnswerAssembler.digestOf(expected.text)
        frame.copy(length = expected.text.length.toLong(), digest = digest)
    } else {
        frame
    }

    @Test
    fun `each caller gets the complete text of its own answer`() {
        expectThat(run("all checks") { frame, _ -> frame }.size).isEqualTo(0)
    }

    @Test
    fun `the simulation finds violations if any check is left out`() {
        mapOf<String, Rewrite>(
            "attempt ignored" to ::ofAttempt,
            "request ignored" to ::ofRequest,
            "offset ignored" to ::ofOffset,
            "end mark ignored" to ::ofText,
        ).forEach { (name, rewrite) ->
            expectThat(run(name, rewrite).size).isGreaterThan(0)
        }
    }

    private companion object {
        const val SEEDS = 300
    }
}
