package org.vanilladale.gateway

import org.vanilladale.core.gateway.FleetView
import org.vanilladale.core.retry.WindowedRetryBudget
import org.vanilladale.core.shard.Locked
import org.vanilladale.core.shard.Sharded
import org.vanilladale.schema.GatewaySettings
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.Timestamp

/** The share of this entry in the retry budget of each pool. Thread-safe. */
internal class FleetRetryBudget(
    private val settings: GatewaySettings,
    private val fleet: Locked<FleetView>,
    private val clock: () -> Timestamp,
) {
    private val budgets =
        Sharded<PoolName, HashMap<PoolName, WindowedRetryBudget>>(SHARDS) { HashMap() }

    /** Counts the first attempt of a request to [pool]. */
    fun countRequest(pool: PoolName) = withBudget(pool) { countRequest(clock()) }

    /** Takes one retry to [pool] from the share of this entry. Returns false if it is used up. */
    fun tryTake(pool: PoolName): Boolean = withShare(pool) { entries, now -> tryTake(entries, now) }

    /** Returns whether [tryTake] would succeed now. */
    fun mayTake(pool: PoolName): Boolean = withShare(pool) { entries, now -> mayTake(entries, now) }

    private fun withShare(
        pool: PoolName,
        block: WindowedRetryBudget.(entries: Int, now: Timestamp) -> Boolean,
    ): Boolean {
        val now = clock()
        val entries = fleet.use { it.entryCount(now) }
        return withBudget(pool) { block(entries, now) }
    }

    private fun <R> withBudget(pool: PoolName, block: WindowedRetryBudget.() -> R): R =
        budgets.withShard(pool) { shard ->
            shard.getOrPut(pool) {
                WindowedRetryBudget(
                    settings.retryBudgetRatio,
                    settings.retryBudgetSlack,
                    (settings.retryBudgetWindowSeconds * MILLISECONDS_PER_SECOND).toLong(),
                )
            }.block()
        }

    private companion object {
        const val SHARDS = 4
        const val MILLISECONDS_PER_SECOND = 1_000
    }
}
