package org.vanilladale.systemtests

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

/** Guards against an accepted revision that stays unknown, is lost or goes back at a process. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ConfigurationSpreadTest {
    private val processes = SpreadFleet()
    private val fleet = processes.fleet
    private val samples = ConcurrentHashMap<String, CopyOnWriteArrayList<Long>>()
    private var startedAt = 0L
    private var starts = processes.operators.size

    @Volatile
    private var sampling = true

    private val sampler = thread(start = false) {
        while (sampling) {
            processes.operators.forEach { operator ->
                fleet.statusOrNull(operator)?.getLong("revision")
                    ?.let { samples.getOrPut(operator) { CopyOnWriteArrayList() } += it }
            }
            Thread.sleep(50)
        }
    }

    @BeforeAll
    fun start() {
        startedAt = System.nanoTime()
        processes.start()
        println("configuration: first tables everywhere after ${secondsSince(startedAt)} s")
        sampler.start()
    }

    @AfterAll
    fun stop() {
        sampling = false
        sampler.join()
        processes.close()
    }

    @Test
    fun `a change is in force at all processes within seconds`() {
        expectInForceEverywhere(processes.publish(slots = 2), 16.0)
    }

    @Test
    fun `restarted processes get the tables from peers while the service is down`() {
        val revision = processes.publish(slots = 3)
        expectInForceEverywhere(revision, 16.0)
        whileMode("down") {
            val killedAt = System.nanoTime()
            fleet.processes.getValue("entry-0").kill()
            processes.startEntry("entry-0")
            processes.restartAgent("orders-1")
            starts += 2
            fleet.await("the revision at the restarted processes") {
                processes.revisions().all { it == revision }
            }
            println("configuration: restart with the service down ${secondsSince(killedAt)} s")
        }
    }

    @Test
    fun `no process goes back while the service is stale and flaps`() {
        expectInForceEverywhere(processes.publish(slots = 4), 16.0)
        whileMode("stale") {
            fleet.processes.getValue("entry-1").kill()
            processes.startEntry("entry-1")
            starts++
            repeat(20) { round ->
                processes.setMode(listOf("stale", "down", "up", "stale")[round % 4])
                if (round % 10 == 5) processes.publish(slots = 10 + round)
                Thread.sleep(500)
            }
        }
        expectInForceEverywhere(processes.publish(slots = 5), 30.0)
        samples.forEach { (process, revisions) ->
            val falls = revisions.zipWithNext().filter { (before, after) -> after < before }
            println("configuration: $process ${revisions.size} samples, falls $falls")
            expectThat(falls).isEqualTo(emptyList())
        }
        expectThat(samples.keys.size).isEqualTo(processes.operators.size)
    }

    @Test
    fun `faulty tables change nothing and are counted`() {
        val before = processes.revisions().filterNotNull().max()
        val faulty = processes.publish("""[{"name": "orders", "type": "service", "targets": 7}]""")
        val unjoined = "vanilladale_events_total{event=\"configuration-tables-faulty\"}"
        fleet.await("the alarm") { processes.operators.any { fleet.metric(it, unjoined) > 0 } }
        Thread.sleep(3_000)
        expectThat(processes.revisions().filterNotNull().max()).isLessThan(faulty)
        expectThat(processes.revisions().filterNotNull().min()).isGreaterThanOrEqualTo(before)
        expectInForceEverywhere(processes.publish(slots = 6), 16.0)
    }

    @Test
    fun `calls on the service stay within the budget`() {
        val minutes = secondsSince(startedAt) / 60
        val calls = processes.calls()
        val each = (calls - starts) / processes.operators.size / minutes
        println("configuration: $calls calls in %.2f min, %.1f a minute".format(minutes, each))
        // 200 reads a second over 1,190 processes are 10 a minute for each.
        expectThat(each).isLessThanOrEqualTo(10.0)
    }

    private fun expectInForceEverywhere(revision: Long, seconds: Double) {
        val publishedAt = System.nanoTime()
        fleet.await("revision $revision at all processes") {
            processes.revisions().all { it == revision }
        }
        val slowest = secondsSince(publishedAt)
        println("configuration: revision $revision at the slowest process after $slowest s")
        expectThat(slowest).isLessThan(seconds)
    }

    private fun whileMode(mode: String, block: () -> Unit) {
        processes.setMode(mode)
        try {
            block()
        } finally {
            processes.setMode("up")
        }
    }

    private fun secondsSince(nanoseconds: Long) = (System.nanoTime() - nanoseconds) / 1e9
}
