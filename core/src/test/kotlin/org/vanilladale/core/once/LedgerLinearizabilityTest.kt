package org.vanilladale.core.once

import org.jetbrains.lincheck.LincheckAssertionError
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.junit.jupiter.api.Test
import org.vanilladale.core.shard.Sharded
import org.vanilladale.schema.Binding
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.RequestKey
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.WorkspaceId
import strikt.api.expectThrows

/** Operations on one key of one shard that several threads call. */
@Param(name = "nonce", gen = IntGen::class, conf = "1:2")
abstract class LedgerOperations {
    internal abstract fun <R> onShard(block: (LedgerShard<String>) -> R): R

    private val key = BoundKey(WorkspaceId.parse("w"), RequestKey.parse("k"))
    private val now = Timestamp.fromEpochMilliseconds(0)
    private val deadline = Deadline.fromEpochMilliseconds(500)

    private fun binding(nonce: Int) = Binding(
        PoolName.parse("orders"),
        TargetId.parse("orders-1"),
        Incarnation(1),
        nonce.toLong(),
        Deadline.fromEpochMilliseconds(1_000),
    )

    @Operation
    fun submit(@Param(name = "nonce") nonce: Int): String =
        onShard { it.submit(binding(nonce), key, deadline, now).toString() }

    @Operation
    fun mayDispatch(@Param(name = "nonce") nonce: Int): Boolean =
        onShard { it.mayDispatch(binding(nonce), key, now).isRight() }

    @Operation
    fun complete(@Param(name = "nonce") nonce: Int) =
        onShard { it.complete(binding(nonce), key, "done") }

    @Operation
    fun cancel(@Param(name = "nonce") nonce: Int): String =
        onShard { it.cancel(binding(nonce), key, now).name }

    internal companion object {
        val LIMITS = LedgerLimits(2, 2, 100, 10, 1_000, shardCount = 1)
    }
}

class LockedShard : LedgerOperations() {
    private val shards = Sharded<String, LedgerShard<String>>(1) {
        LedgerShard(LIMITS) { it.length.toLong() }
    }

    override fun <R> onShard(block: (LedgerShard<String>) -> R): R = shards.withShard("", block)
}

class UnlockedShard : LedgerOperations() {
    private val shard = LedgerShard<String>(LIMITS) { it.length.toLong() }

    override fun <R> onShard(block: (LedgerShard<String>) -> R): R = block(shard)
}

/** Guards against a ledger operation whose partial result is visible to another thread. */
class LedgerLinearizabilityTest {
    private val options = ModelCheckingOptions()
        .threads(2)
        .actorsPerThread(2)
        .actorsBefore(1)
        .actorsAfter(1)
        .iterations(5)
        .invocationsPerIteration(100)
        .minimizeFailedScenario(false)

    @Test
    fun `a shard with its lock is linearizable`() = options.check(LockedShard::class)

    @Test
    fun `the check fails for a shard without its lock`() {
        expectThrows<LincheckAssertionError> { options.check(UnlockedShard::class) }
    }
}
