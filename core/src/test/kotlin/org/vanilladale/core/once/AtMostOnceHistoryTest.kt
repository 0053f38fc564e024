package org.vanilladale.core.once

import org.junit.jupiter.api.Test
import org.vanilladale.schema.Incarnation
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

/**
 * Checks invariants I3 and I4 of docs/design.md: no request runs twice, or runs although its caller
 * got run=no. The histories come from simulated schedules, with all mechanisms and with each one
 * removed.
 */
class AtMostOnceHistoryTest {
    private val all = Faults(
        "all faults",
        lost = 15,
        late = 15,
        duplicate = 15,
        responseLost = 5,
        pause = 5,
        restart = 4,
        listChange = 20,
    )
    private val single = listOf(
        Faults("no fault"),
        Faults("lost frames", lost = 15),
        Faults("late frames", late = 15),
        Faults("duplicate frames", duplicate = 15),
        Faults("lost responses", responseLost = 5),
        Faults("pauses", pause = 5),
        Faults("restarts", restart = 4),
        Faults("changed target list", listChange = 20),
        Faults("one of three targets down", targetDown = true),
        all,
        all.copy(name = "all faults, one target down", targetDown = true),
    )

    private fun run(
        faults: Faults,
        rebind: Boolean = false,
        newLedger: (Incarnation) -> LedgerVariant,
    ): List<String> {
        val histories = (1..SEEDS).map { AtMostOnceModel(it, faults, rebind, newLedger).run() }
        val violations = histories.flatMapIndexed { index, history ->
            history.violations().map { "seed ${index + 1}: $it" }
        }
        val requests = histories.sumOf { it.requests }
        val unknown = histories.sumOf { it.unknown } * 100.0 / requests
        val done = histories.sumOf { it.done } * 100.0 / requests
        println(
            "once: %-28s %5d requests, done %5.1f %%, unknown %5.1f %%, violations %d %s".format(
                faults.name,
                requests,
                done,
                unknown,
                violations.size,
                violations.groupingBy { it.substringAfter(": ").replace(Regex("\\d+"), "N") }
                    .eachCount(),
            ),
        )
        return violations
    }

    @Test
    fun `no request runs twice or despite run=no under any fault`() {
        single.forEach { expectThat(run(it) { LedgerVariant(it) }).isEmpty() }
        val full = all.copy(name = "all faults, ledger of 2 rows")
        val steps = all.copy(name = "all faults, clock steps", clockStep = 20)
        expectThat(run(steps) { LedgerVariant(it) }).isEmpty()
        expectThat(run(full) { LedgerVariant(it, maximumRows = 2) }).isEmpty()
        val two = Faults("two bindings of one key", lost = 15, late = 15, twoBindings = true)
        expectThat(run(two) { LedgerVariant(it) }).isEmpty()
    }

    @Test
    fun `the checker finds violations when a mechanism is removed`() {
        val two = Faults("second binding allowed", lost = 15, late = 15, twoBindings = true)
        mapOf<Faults, (Incarnation) -> LedgerVariant>(
            all.copy(name = "no ledger") to ::NoLedger,
            all.copy(name = "cancel marks forgotten") to ::ForgetsCancelMarks,
            all.copy(name = "incarnation ignored") to ::IgnoresIncarnation,
            all.copy(name = "dispatch unchecked") to ::DispatchesUnchecked,
            all.copy(name = "rows forgotten early") to ::ForgetsEarly,
            all.copy(name = "refusal without mark") to { RefusesWithoutMark(it, 2) },
            two to ::AllowsSecondBinding,
        ).forEach { (faults, newLedger) ->
            expectThat(run(faults, newLedger = newLedger).size).isGreaterThan(0)
        }
        val rebinding = all.copy(name = "new binding for each try")
        expectThat(run(rebinding, rebind = true) { LedgerVariant(it) }.size).isGreaterThan(0)
    }

    private companion object {
        const val SEEDS = 300
    }
}
