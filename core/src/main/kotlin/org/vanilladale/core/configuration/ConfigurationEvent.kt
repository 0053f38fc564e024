package org.vanilladale.core.configuration

import org.vanilladale.schema.ConfigurationOffer
import org.vanilladale.schema.ConfigurationPull
import org.vanilladale.schema.ConfigurationPush
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Revision
import org.vanilladale.schema.Tables
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/** What happens to [ConfigurationState]. */
public sealed interface ConfigurationEvent {
    /** Outcome of a read of the configuration service. */
    public sealed interface ServiceEvent : ConfigurationEvent

    /** Something that [peer] did or that happened to the connection to it. */
    public sealed interface PeerEvent : ConfigurationEvent {
        public val peer: VmId
    }

    /** The service answered a read with tables. */
    public data class TablesRead(val tables: Tables) : ServiceEvent

    /** The service holds no other revision than the one that the read named. */
    public data object TablesUnchanged : ServiceEvent

    /** The service answered with text that [parseTables] refuses. */
    public data class TablesMalformed(val faults: List<TableFault>) : ServiceEvent

    /** The service did not answer. */
    public data object ReadFailed : ServiceEvent

    public data class PeerConnected(override val peer: VmId, val dataCentre: DataCentreName) :
        PeerEvent

    public data class PeerDisconnected(override val peer: VmId) : PeerEvent

    public data class OfferReceived(override val peer: VmId, val offer: ConfigurationOffer) :
        PeerEvent

    /** A heartbeat of [peer] named the revision that is in force there. */
    public data class HeartbeatReceived(
        override val peer: VmId,
        val revision: Revision,
        val digest: Digest,
    ) : PeerEvent

    public data class PullReceived(override val peer: VmId, val pull: ConfigurationPull) :
        PeerEvent

    public data class PushReceived(override val peer: VmId, val push: ConfigurationPush) :
        PeerEvent

    /** Time has passed; sent at least twice a second. */
    public data object Tick : ConfigurationEvent
}

/** What the process does after an event. */
public sealed interface ConfigurationAction {
    public data class Send(val peer: VmId, val frame: Frame) : ConfigurationAction

    public data class ActivateTables(val tables: JoinedTables, val digest: Digest) :
        ConfigurationAction

    public data class RaiseAlarm(val alarm: ConfigurationAlarm, val detail: String) :
        ConfigurationAction

    /**
     * Reads the configuration service at [at].
     *
     * [knownRevision] is sent with the read, so that the answer is short when nothing has changed.
     */
    public data class ReadService(val at: Timestamp, val knownRevision: Revision?) :
        ConfigurationAction
}

/**
 * Kind of an alarm. Each kind has a counter.
 *
 * @property code label of the counter
 */
public enum class ConfigurationAlarm(public val code: String, public val remedy: String) {
    SAME_REVISION_OTHER_CONTENT(
        "same-revision-other-content",
        "Write the wanted tables under a new, higher revision.",
    ),
    TABLES_FAULTY("tables-faulty", "Correct the named rows and write a new revision."),
    SERVICE_UNREACHABLE("service-unreachable", "Check the configuration service."),
    SERVICE_STALE("service-stale", "Check why the service returns an earlier revision."),
    PUSH_MISMATCH("push-mismatch", "Check the version of the named peer."),
    PUSH_UNEXPECTED("push-unexpected", "None; the frame matches no pull and is dropped."),
}
