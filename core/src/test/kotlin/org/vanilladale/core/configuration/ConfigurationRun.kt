package org.vanilladale.core.configuration

import java.util.PriorityQueue
import kotlin.random.Random
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.vanilladale.core.configuration.ConfigurationEvent.HeartbeatReceived
import org.vanilladale.core.configuration.ConfigurationEvent.OfferReceived
import org.vanilladale.core.configuration.ConfigurationEvent.PullReceived
import org.vanilladale.core.configuration.ConfigurationEvent.PushReceived
import org.vanilladale.schema.ConfigurationOffer
import org.vanilladale.schema.ConfigurationPull
import org.vanilladale.schema.ConfigurationPush
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.Tables
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/**
 * Simulates the processes of a fleet in virtual time. A run is single-threaded and deterministic
 * for a seed.
 */
internal class ConfigurationRun(
    seed: Long,
    private val size: Int,
    private val links: List<Pair<Int, Int>>,
    private val rules: ConfigurationRules = ConfigurationRules(),
    private val heartbeats: Boolean = true,
    private val wholeTables: Boolean = false,
    private val heartbeatMilliseconds: Long = 1_000,
) {
    private class Event(val at: Long, val order: Long, val run: () -> Unit)

    inner class Process(val index: Int) {
        val vm = VmId.parse("vm-$index")
        val dataCentre = DataCentreName.parse("data-centre-${index % 3}")
        var incarnation = 0
        var state: ConfigurationState? = null
    }

    val random = Random(seed)
    val history = ConfigurationHistory()
    val processes = List(size) { Process(it) }
    val alarms = mutableMapOf<ConfigurationAlarm, Int>()
    var now = 0L
    var bytes = 0L

    /** Returns the tables for a read by a process, or null if the service is down. */
    var service: (process: Int) -> Tables? = { null }
    var onActivation: (process: Int, revision: Long) -> Unit = { _, _ -> }
    var onRead: (process: Int, revision: Long) -> Unit = { _, _ -> }
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private val open = mutableMapOf<Pair<Int, Int>, ConfigurationHistory.Connection>()
    private val lastArrival = mutableMapOf<Pair<Int, Int>, Long>()
    private val blocked = mutableSetOf<Pair<Int, Int>>()
    private var order = 0L

    fun at(time: Long, run: () -> Unit) {
        events += Event(time, order++, run)
    }

    fun runUntil(end: Long) {
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.poll()
            now = event.at
            event.run()
        }
        now = end
        history.end = end
    }

    fun start(index: Int) {
        val process = processes[index]
        if (process.state != null) return
        val incarnation = ++process.incarnation
        val state = ConfigurationState(
            configurationStateSettings(process.vm, process.dataCentre),
            ServiceReadSchedule(Random(random.nextLong())),
            time(),
            rules,
        )
        process.state = state
        history.starts += index to now
        act(process, state.start(time()))
        every(250, { process.incarnation == incarnation && process.state != null }) {
            handle(process, ConfigurationEvent.Tick)
        }
        updateLinks()
    }

    fun kill(index: Int) {
        processes[index].state = null
        updateLinks()
    }

    fun block(isBlocked: (Int, Int) -> Boolean) {
        blocked.clear()
        blocked += links.filter { (a, b) -> isBlocked(a, b) }
        updateLinks()
    }

    private fun every(milliseconds: Long, alive: () -> Boolean, run: () -> Unit) {
        at(now + milliseconds) {
            if (alive()) {
                run()
                every(milliseconds, alive, run)
            }
        }
    }

    private fun updateLinks() = links.forEach { link ->
        val ends = listOf(processes[link.first], processes[link.second])
        val wanted = link !in blocked && ends.all { it.state != null }
        if (wanted && link !in open) connect(link, ends)
        if (!wanted && link in open) disconnect(link, ends)
    }

    private fun connect(link: Pair<Int, Int>, ends: List<Process>) {
        val opened = ConfigurationHistory.Connection(link.first, link.second, now)
        open[link] = opened
        history.connections += opened
        ends.zip(ends.reversed()).forEach { (from, to) ->
            handle(from, ConfigurationEvent.PeerConnected(to.vm, to.dataCentre))
            if (heartbeats) startHeartbeats({ open[link] === opened }) { heartbeat(from, to) }
        }
    }

    /**
     * Starts the heartbeats. Intervals above 1 s start at a random time, as in the real programs.
     */
    private fun startHeartbeats(alive: () -> Boolean, run: () -> Unit) {
        val phase =
            if (heartbeatMilliseconds > 1_000) random.nextLong(heartbeatMilliseconds) else 0
        if (phase == 0L) {
            every(heartbeatMilliseconds, alive, run)
        } else {
            at(now + phase) { every(heartbeatMilliseconds, alive, run) }
        }
    }

    private fun disconnect(link: Pair<Int, Int>, ends: List<Process>) {
        open.remove(link)?.until = now
        ends.zip(ends.reversed()).forEach { (from, to) ->
            handle(from, ConfigurationEvent.PeerDisconnected(to.vm))
        }
    }

    private fun heartbeat(from: Process, to: Process) {
        val offer = from.state?.heartbeatOfferOrNull(to.vm) ?: return
        val heartbeat = Heartbeat()
        bytes += sizeOf(heartbeat.copy(revision = offer.revision, digest = offer.digest)) -
            sizeOf(heartbeat)
        deliver(from, to, HeartbeatReceived(from.vm, offer.revision, offer.digest))
    }

    private fun handle(process: Process, event: ConfigurationEvent) {
        process.state?.let { act(process, it.handle(event, time())) }
    }

    private fun act(process: Process, actions: List<ConfigurationAction>) = actions.forEach {
        when (it) {
            is ConfigurationAction.Send -> send(process, it.peer, it.frame)
            is ConfigurationAction.RaiseAlarm -> alarms.merge(it.alarm, 1, Int::plus)
            is ConfigurationAction.ReadService -> {
                val incarnation = process.incarnation
                at(it.at.epochMilliseconds) {
                    if (process.incarnation == incarnation && process.state != null) {
                        read(process, it.knownRevision?.value)
                    }
                }
            }
            is ConfigurationAction.ActivateTables -> {
                val revision = it.tables.revision.value
                history.activations += ConfigurationHistory.Activation(
                    now,
                    process.index,
                    process.incarnation,
                    revision,
                    it.digest,
                )
                onActivation(process.index, revision)
            }
        }
    }

    private fun read(process: Process, held: Long?) {
        history.reads += now
        val tables = service(process.index)
        val event = when {
            tables == null -> ConfigurationEvent.ReadFailed
            tables.revision.value == held -> ConfigurationEvent.TablesUnchanged
            else -> ConfigurationEvent.TablesRead(tables)
        }
        handle(process, event)
        if (event is ConfigurationEvent.TablesRead) onRead(process.index, tables!!.revision.value)
    }

    private fun send(from: Process, peer: VmId, frame: Frame) {
        bytes += sizeOf(frame)
        val event = when (frame) {
            is ConfigurationOffer -> OfferReceived(from.vm, frame)
            is ConfigurationPull -> PullReceived(
                from.vm,
                if (wholeTables) frame.copy(base = null, baseDigest = null) else frame,
            )
            is ConfigurationPush -> PushReceived(from.vm, frame)
            else -> error("not a configuration frame")
        }
        deliver(from, processes[peer.text.removePrefix("vm-").toInt()], event)
    }

    /**
     * Delivers [event] with a delay of up to 300 ms. Frames in the same direction arrive in order.
     */
    private fun deliver(from: Process, to: Process, event: ConfigurationEvent) {
        val link = minOf(from.index, to.index) to maxOf(from.index, to.index)
        val connection = open[link] ?: return
        val delay = if (random.nextInt(20) == 0) random.nextLong(300) else random.nextLong(1, 5)
        val direction = from.index to to.index
        val arrival = maxOf(now + delay, lastArrival[direction] ?: 0)
        lastArrival[direction] = arrival
        at(arrival) { if (open[link] === connection) handle(to, event) }
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun sizeOf(frame: Frame): Int =
        4 + Cbor.encodeToByteArray(Frame.serializer(), frame).size

    private fun time() = Timestamp.fromEpochMilliseconds(now)
}
