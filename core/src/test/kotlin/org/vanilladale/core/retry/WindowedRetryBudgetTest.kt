package org.vanilladale.core.retry

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

class WindowedRetryBudgetTest {
    private val window = 10_000L

    private fun at(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)

    @Test
    fun `in no window do all entries together make more retries than allowed`() {
        for (seed in 1..20) {
            val random = Random(seed)
            val entries = 21
            val budgets = List(entries) { WindowedRetryBudget(0.2, 219.0, window) }
            val requests = ArrayList<Long>()
            val retries = ArrayList<Long>()
            for (now in 0L..40_000L step 5) {
                val budget = budgets.random(random)
                if (random.nextInt(3) == 0) {
                    budget.countRequest(at(now))
                    requests += now
                }
                if (budget.tryTake(entries, at(now))) retries += now
            }
            for (end in 0L..40_000L step 100) {
                val span = (end - window + 1)..end
                val allowed = 0.2 * requests.count { it in span } + 219.0
                expectThat(retries.count { it in span }.toDouble())
                    .describedAs("seed $seed, window that ends at $end")
                    .isLessThanOrEqualTo(allowed)
            }
            expectThat(retries.size).isGreaterThan(200)
        }
    }
}
