package org.vanilladale.systemtests

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.vanilladale.systemtests.OrderHistory.Order
import org.vanilladale.systemtests.OrderHistory.Told
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo

/** Guards against orders that run twice, or that run although their caller was told that not. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OrderOnceTest {
    private val fleet = Fleet()
    private val targets = listOf("orders-0", "orders-1", "orders-2")
    private val history = OrderHistory(fleet, targets)

    @BeforeAll
    fun start() {
        val routes = """[
            {"name": "order", "kind": "order", "pool": "orders", "idempotent": false,
             "path": "/orders", "deadlineMilliseconds": 2500},
            {"name": "other", "kind": "other", "pool": "others", "idempotent": false,
             "path": "/orders", "deadlineMilliseconds": 2500},
            {"name": "stock", "kind": "stock", "pool": "orders", "idempotent": true,
             "path": "/stock", "deadlineMilliseconds": 2000}
        ]"""
        val places = targets.joinToString {
            """{"target": "$it", "agentAddress": "${fleet.address("agent-$it")}",
                "dataCentre": "lodz-1"}"""
        }
        val pools = """[{"name": "orders", "type": "service", "targets": [$places]},
            {"name": "others", "type": "service", "targets": [$places]}]"""
        fleet.startConfiguration(routes, pools)
        targets.forEach { fleet.startService(it) }
        fleet.startEntry("entry-0")
        fleet.startEntry("entry-1")
        awaitAllTargets("entry-0")
        awaitAllTargets("entry-1")
    }

    @AfterAll
    fun stop() {
        fleet.close()
    }

    @AfterEach
    fun `history holds`() {
        history.control("""{"loseAnswers": false, "delayMilliseconds": 0}""")
        expectThat(history.contradictions()).isEmpty()
    }

    @Test
    fun `orders whose response is lost run once and stay unknown`() {
        history.control("""{"loseAnswers": true}""")
        val orders = bindAll("lost", 12)
        val first = orders.flatMap { order ->
            listOf("entry-0", "entry-1").map { history.sendAsync(it, order) }
        }.map { it.join() }
        history.control("""{"loseAnswers": false}""")
        val later = orders.map { history.send("entry-1", it) }
        print("response lost", "lost")
        expectThat(first + later).all { get { told }.isEqualTo(Told.UNKNOWN) }
        expectThat(history.figures("lost").executions).isEqualTo(12)
    }

    @Test
    fun `orders repeated through another entry when theirs is killed run once`() {
        history.control("""{"delayMilliseconds": 600}""")
        val orders = bindAll("entry", 8)
        val first = orders.map { history.sendAsync("entry-0", it) }
        val same = orders.take(4).map { history.sendAsync("entry-1", it) }
        Thread.sleep(250)
        fleet.processes.getValue("entry-0").kill()
        first.forEach { it.join() }
        val later = orders.map { history.send("entry-1", it) }
        print("entry killed", "entry")
        expectThat(same.map { it.join() }).all { get { told }.isEqualTo(Told.ANSWER) }
        expectThat(later).all { get { told }.isEqualTo(Told.ANSWER) }
        expectThat(history.figures("entry").executions).isEqualTo(8)
        fleet.startEntry("entry-0")
        awaitAllTargets("entry-0")
    }

    @Test
    fun `an order whose caller disconnects runs on`() {
        history.control("""{"delayMilliseconds": 600}""")
        val order = history.bind("entry-1", "gone")
        val caller = Thread { runCatching { history.send("entry-1", order) } }
        caller.start()
        Thread.sleep(200)
        caller.interrupt()
        caller.join()
        expectThat(history.send("entry-1", order).told).isEqualTo(Told.ANSWER)
    }

    @Test
    fun `orders of a killed agent end unknown and its replacement runs none of them`() {
        val before = bindFor("orders-0", "before", 3)
        val after = bindFor("orders-0", "after", 3)
        val during = bindFor("orders-0", "during", 3)
        after.forEach { expectThat(history.send("entry-0", it).told).isEqualTo(Told.ANSWER) }
        history.control("""{"delayMilliseconds": 600}""")
        val running = during.map { history.sendAsync("entry-1", it) }
        Thread.sleep(250)
        fleet.processes.getValue("agent-orders-0").kill()
        val all = before + after + during
        val whileDown = all.map { history.sendAsync("entry-0", it) }.map { it.join() }
        expectThat(running.map { it.join() } + whileDown)
            .all { get { told }.isEqualTo(Told.UNKNOWN) }
        fleet.startAgent("orders-0", "service", "service-orders-0")
        awaitAllTargets("entry-0")
        awaitAllTargets("entry-1")
        val replaced = all.map { history.send("entry-1", it) }
        listOf("before", "during", "after").forEach { print("agent killed, $it the run", it) }
        expectThat(replaced).all {
            get { told }.isEqualTo(Told.UNKNOWN)
            get { body }.contains("binding-lost")
        }
        expectThat(history.figures("before").executions).isEqualTo(0)
    }

    @Test
    fun `an agent that was paused across the deadline runs no late order`() {
        val long = bindFor("orders-1", "paused-long", 4)
        val short = bindFor("orders-1", "paused-short", 4)
        val agent = fleet.processes.getValue("agent-orders-1")
        agent.pause()
        val first = long.map {
            history.sendAsync("entry-0", it, "vanilladale-deadline", inOneSecond())
        }
        first.forEach { expectThat(it.join().told).isEqualTo(Told.UNKNOWN) }
        val second =
            short.map { history.sendAsync("entry-1", it, "vanilladale-deadline", inOneSecond()) }
        Thread.sleep(1_300)
        agent.resume()
        val told = second.map { it.join().told }
        Thread.sleep(1_000)
        (long + short).forEach { history.send("entry-0", it) }
        print("agent paused past deadline and cancel", "paused-long")
        print("agent resumed before the cancel ends", "paused-short")
        expectThat(told).all { isEqualTo(Told.NOT_RUN) }
        expectThat(history.executions().filterKeys { it.startsWith("paused") }).isEmpty()
    }

    @Test
    fun `new orders are served with one of three targets down`() {
        val bound = bindFor("orders-2", "down-bound", 5)
        fleet.processes.getValue("agent-orders-2").kill()
        bound.forEach { history.sendAsync("entry-0", it).join() }
        val count = 60
        val refused = (1..count).count { number ->
            val entry = "entry-${number % 2}"
            val order = history.bindOrNull(entry, "down-new-$number")
            if (order != null) history.send(entry, order)
            order == null
        }
        val figures = history.figures("down-new")
        val answered = figures.told[Told.ANSWER] ?: 0
        print("one of three targets down, bound before", "down-bound")
        print("one of three targets down, new orders", "down-new")
        println(
            "orders: availability with one of three down: $answered of $count, $refused unbound",
        )
        expectThat(answered).isGreaterThan(count * 9 / 10)
        fleet.startAgent("orders-2", "service", "service-orders-2")
        awaitAllTargets("entry-0")
        awaitAllTargets("entry-1")
    }

    @Test
    fun `an entry refuses with no only after the mark`() {
        val order = history.bind("entry-0", "late")
        val late = history.send("entry-0", order, "vanilladale-deadline", "1")
        expectThat(late.told).isEqualTo(Told.NOT_RUN)
        expectThat(late.body).contains("deadline-too-short")
        val repeated = history.send("entry-1", order)
        expectThat(repeated.told).isEqualTo(Told.NOT_RUN)
        expectThat(repeated.body).contains("\"reason\":\"cancelled\"")
        val done = history.bind("entry-0", "done")
        expectThat(history.send("entry-0", done).told).isEqualTo(Told.ANSWER)
        val refused = history.send("entry-1", done, "vanilladale-deadline", "1")
        expectThat(refused.told).isEqualTo(Told.UNKNOWN)
    }

    @Test
    fun `a missing, damaged or foreign binding is refused`() {
        val key = arrayOf("vanilladale-request-key", "wrong")
        val order = history.bind("entry-0", "wrong")
        val kind = "vanilladale-kind"
        val binding = "vanilladale-binding"
        val missing = history.post("entry-0", REQUESTS, kind, "order", *key)
        expectThat(missing.body()).contains("binding-required")
        val damaged = order.text.reversed()
        val malformed = history.post("entry-0", REQUESTS, kind, "order", *key, binding, damaged)
        expectThat(malformed.body()).contains("binding-malformed")
        val foreign = history.post("entry-0", REQUESTS, kind, "other", *key, binding, order.text)
        expectThat(foreign.body()).contains("the binding is for pool orders")
        val unneeded = history.post("entry-0", "/v1/bindings", kind, "stock", *key)
        expectThat(unneeded.statusCode()).isNotEqualTo(200)
        expectThat(history.executions()["wrong"]).isEqualTo(null)
    }

    private fun bindAll(name: String, count: Int): List<Order> =
        (1..count).map { history.bind("entry-${it % 2}", "$name-$it") }

    private fun bindFor(target: String, name: String, count: Int): List<Order> =
        generateSequence(1) { it + 1 }
            .map { history.bind("entry-0", "$name-$it") }
            .filter { it.binding.target.text == target }
            .take(count)
            .toList()

    private fun awaitAllTargets(entry: String) {
        fleet.await("$entry knows all targets") {
            (1..60).mapNotNull { history.bindOrNull(entry, "probe-$it")?.binding?.target }
                .toSet().size == targets.size
        }
    }

    private fun print(scenario: String, keyPrefix: String) {
        println("orders: $scenario: ${history.figures(keyPrefix)}")
    }

    private fun inOneSecond(): String = (System.currentTimeMillis() + 1_000).toString()

    private companion object {
        const val REQUESTS = "/v1/requests"
    }
}
