package org.vanilladale.core.admission

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.WorkspaceId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class FairQueueTest {
    private val now = Timestamp.fromEpochMilliseconds(0)
    private val small = WorkspaceId.parse("small")
    private val large = WorkspaceId.parse("large")

    private fun request(key: Int, workspace: WorkspaceId, priority: Int = 5, due: Long = 1_000) =
        QueuedRequest(key, workspace, priority, Deadline.fromEpochMilliseconds(due))

    private fun FairQueue<Int>.drain() = generateSequence { poll(now).next }.map { it.key }.toList()

    @Test
    fun `workspaces take turns and a full queue displaces the newest of the largest`() {
        val queue = FairQueue<Int>(capacity = 4)
        repeat(4) { queue.offer(request(it, large)) }
        expectThat(queue.offer(request(4, large)).leftOrNull()?.reason)
            .isEqualTo(RefusalReason.TARGET_OVERLOADED)
        expectThat(queue.offer(request(5, small)).getOrNull()?.key).isEqualTo(3)
        expectThat(queue.offer(request(6, small)).getOrNull()?.key).isEqualTo(2)
        expectThat(queue.offer(request(7, small)).isLeft()).isEqualTo(true)
        expectThat(queue.drain()).containsExactly(0, 5, 1, 6)
    }

    @Test
    fun `a low priority is passed over a bounded number of times`() {
        val queue = FairQueue<Int>(capacity = 100, maximumPassedOver = 3)
        queue.offer(request(0, small, priority = 0))
        queue.offer(request(1, small, priority = 1))
        repeat(8) { queue.offer(request(10 + it, large, priority = 9)) }
        expectThat(queue.drain().take(5)).containsExactly(10, 11, 12, 1, 0)
    }

    @Test
    fun `requests that would miss their deadline are shed and cancelled ones are gone`() {
        val queue = FairQueue<Int>(capacity = 9)
        queue.offer(request(0, large, due = 50))
        queue.offer(request(1, large))
        queue.offer(request(2, small))
        expectThat(queue.remove(1)?.key).isEqualTo(1)
        expectThat(queue.remove(1)).isEqualTo(null)
        val polled = queue.poll(now, neededMilliseconds = 50)
        expectThat(polled.shed.map { it.key }).containsExactly(0)
        expectThat(polled.next?.key).isEqualTo(2)
        expectThat(queue.poll(now).next).isEqualTo(null)
    }

    @Test
    fun `under seeded schedules the size is bounded and each request leaves exactly once`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val queue = FairQueue<Int>(capacity = random.nextInt(1, 12))
            val inside = HashSet<Int>()
            repeat(300) { key ->
                when (random.nextInt(4)) {
                    0 -> queue.poll(now).next?.let { check(inside.remove(it.key)) }

                    1 -> {
                        val victim = random.nextInt(key + 1)
                        check(inside.remove(victim) == (queue.remove(victim) != null))
                    }

                    else -> {
                        val workspace = WorkspaceId.parse("w-${random.nextInt(5)}")
                        queue.offer(request(key, workspace, random.nextInt(10))).onRight {
                            inside += key
                            if (it != null) check(inside.remove(it.key))
                        }
                    }
                }
                expectThat(queue.size).describedAs("seed $seed").isEqualTo(inside.size)
                expectThat(queue.size).isLessThanOrEqualTo(11)
            }
            expectThat(queue.drain().toSet()).describedAs("seed $seed").isEqualTo(inside)
        }
    }
}
