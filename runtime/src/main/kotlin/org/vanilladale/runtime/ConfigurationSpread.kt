package org.vanilladale.runtime

import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger
import org.vanilladale.core.configuration.ConfigurationAction
import org.vanilladale.core.configuration.ConfigurationEvent
import org.vanilladale.core.configuration.ConfigurationState
import org.vanilladale.core.configuration.ConfigurationStateSettings
import org.vanilladale.core.configuration.JoinedTables
import org.vanilladale.core.configuration.ServiceReadSchedule
import org.vanilladale.core.configuration.parseTables
import org.vanilladale.schema.ConfigurationOffer
import org.vanilladale.schema.ConfigurationPull
import org.vanilladale.schema.ConfigurationPush
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.PeerReport
import org.vanilladale.schema.Revision
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import org.vanilladale.transport.PeerConnection

/**
 * Follows the operator tables in one process: spreads them over all open peer connections,
 * whichever side dialled, and reads the configuration service on its schedule.
 *
 * After a restart the tables come from peers, also while the service is down: an entry dials other
 * entries, and an agent is dialled by the entries whose tables name it. When every process restarts
 * while the service is down, no process holds the tables, as nothing is persisted. Requests are
 * then refused with `no-configuration` until the service answers; the first process that reads the
 * tables spreads them.
 *
 * @param read reads the service; gets the revision that this process holds
 * @param onInForce called in the order of revisions, under the lock of this class
 */
public class ConfigurationSpread(
    private val scope: CoroutineScope,
    settings: ConfigurationStateSettings,
    private val read: suspend (held: Revision?) -> ConfigurationRead,
    private val holder: ConfigurationHolder,
    private val counters: SystemCounters,
    private val clock: () -> Timestamp,
    random: Random,
    private val onInForce: (JoinedTables) -> Unit,
) {
    private val lock = Any()
    private val state = ConfigurationState(
        settings,
        ServiceReadSchedule(random, settings.peersMilliseconds),
        clock(),
    )

    /**
     * Open connections by peer. Frames go through the newest one, whose process alone counts. A
     * process that was replaced may still have requests in flight, so its connections stay open.
     */
    private val connections = sortedMapOf<VmId, MutableList<PeerConnection>>(compareBy { it.text })

    /** Digest of the tables in force, or null before the first. */
    public val digest: Digest? get() = synchronized(lock) { state.activeDigest }

    /** Open connections of this process by peer. */
    public val peers: List<PeerReport>
        get() = synchronized(lock) {
            connections.map { (vm, open) ->
                val remote = open.last().remote
                PeerReport(vm, remote.role, remote.dataCentre, open.size)
            }
        }

    /** Schedules the first read and the ticks. */
    public fun start() {
        synchronized(lock) { state.start(clock()).forEach(::act) }
        scope.launch {
            while (isActive) {
                delay(TICK_MILLISECONDS)
                handle(ConfigurationEvent.Tick)
            }
        }
    }

    /** Adds an open connection; [disconnected] takes it out again. */
    public fun connected(connection: PeerConnection) {
        synchronized(lock) {
            val open = connections.getOrPut(connection.remote.vm) { mutableListOf() }
            val earlier = open.lastOrNull()
            open += connection
            use(connection, earlier)
        }
    }

    /** Takes [connection] out after its end. */
    public fun disconnected(connection: PeerConnection) {
        val remote = connection.remote
        synchronized(lock) {
            val open = connections[remote.vm] ?: return
            val used = open.lastOrNull() === connection
            if (!open.remove(connection)) return
            if (open.isEmpty()) {
                connections -= remote.vm
                handle(ConfigurationEvent.PeerDisconnected(remote.vm))
            } else if (used) {
                // Frames on the ended connection may be lost; another connect offers them again.
                use(open.last(), connection)
            }
        }
    }

    /** Exchanges frames through [connection] from now on, and no longer through [earlier]. */
    private fun use(connection: PeerConnection, earlier: PeerConnection?) {
        val remote = connection.remote
        // The copies of one process are not those of another.
        if (earlier != null && earlier.remote.incarnation != remote.incarnation) {
            handle(ConfigurationEvent.PeerDisconnected(remote.vm))
        }
        handle(ConfigurationEvent.PeerConnected(remote.vm, remote.dataCentre))
    }

    /** Adds the revision in force to a heartbeat when the peer doesn't know it yet. */
    public fun heartbeat(connection: PeerConnection, heartbeat: Heartbeat): Heartbeat =
        synchronized(lock) {
            val vm = connection.remote.vm
            val used = connections[vm]?.lastOrNull() === connection
            val offer = if (used) state.heartbeatOfferOrNull(vm) else null
            heartbeat.copy(revision = offer?.revision, digest = offer?.digest)
        }

    /**
     * Takes a frame of [connection]; returns true when it is a configuration frame. A heartbeat
     * returns false, since it also carries other news.
     */
    public fun onFrame(connection: PeerConnection, frame: Frame): Boolean {
        val peer = connection.remote.vm
        val event = when (frame) {
            is ConfigurationOffer -> ConfigurationEvent.OfferReceived(peer, frame)
            is ConfigurationPull -> ConfigurationEvent.PullReceived(peer, frame)
            is ConfigurationPush -> ConfigurationEvent.PushReceived(peer, frame)
            is Heartbeat -> heartbeatEventOrNull(peer, frame)
            else -> null
        }
        synchronized(lock) {
            if (event != null && countsFor(peer, connection)) handle(event)
        }
        return event != null && frame !is Heartbeat
    }

    private fun countsFor(peer: VmId, connection: PeerConnection): Boolean {
        val open = connections[peer].orEmpty()
        return connection in open &&
            connection.remote.incarnation == open.last().remote.incarnation
    }

    private fun heartbeatEventOrNull(peer: VmId, heartbeat: Heartbeat): ConfigurationEvent? {
        val revision = heartbeat.revision ?: return null
        val digest = heartbeat.digest ?: return null
        return ConfigurationEvent.HeartbeatReceived(peer, revision, digest)
    }

    private fun handle(event: ConfigurationEvent) {
        synchronized(lock) { state.handle(event, clock()).forEach(::act) }
    }

    private fun act(action: ConfigurationAction) {
        when (action) {
            is ConfigurationAction.Send -> send(action.peer, action.frame)
            is ConfigurationAction.ReadService -> scope.launch {
                readAt(action.at, action.knownRevision)
            }
            is ConfigurationAction.RaiseAlarm -> {
                counters.event("configuration-${action.alarm.code}")
                Logger.warn {
                    "configuration: ${action.alarm.code}: ${action.detail}. ${action.alarm.remedy}"
                }
            }
            is ConfigurationAction.ActivateTables -> {
                holder.offer(action.tables)
                onInForce(action.tables)
                Logger.info { "configuration: revision ${action.tables.revision} in force" }
            }
        }
    }

    private fun send(peer: VmId, frame: Frame) {
        val connection = connections[peer]?.lastOrNull() ?: return
        if (connection.trySend(frame)) return
        // The state counts the frame as told. After the close the next connection offers it again.
        counters.event("configuration-send-failed")
        connection.close()
    }

    private suspend fun readAt(at: Timestamp, held: Revision?) {
        delay(at.millisecondsSince(clock()).coerceAtLeast(0))
        val event = when (val outcome = read(held)) {
            is ConfigurationRead.Published -> with(outcome.tables) {
                parseTables(revision, routes, pools).fold(
                    { ConfigurationEvent.TablesMalformed(it) },
                    { ConfigurationEvent.TablesRead(it) },
                )
            }
            ConfigurationRead.Unchanged -> ConfigurationEvent.TablesUnchanged
            ConfigurationRead.Failed -> ConfigurationEvent.ReadFailed
        }
        handle(event)
    }

    private companion object {
        const val TICK_MILLISECONDS = 500L
    }
}
