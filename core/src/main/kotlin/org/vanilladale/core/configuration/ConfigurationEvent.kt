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

/** An input to [ConfigurationState]. */
public sealed interface ConfigurationEvent {
    /** The result of reading the configuration service. */
    public sealed interface ServiceEvent : ConfigurationEvent

    /** A frame received from [peer], or a change of the connection to it. */
    public sealed interface PeerEvent : ConfigurationEvent {
        public val peer: VmId
    }

    /** The service returned [tables]. */
    public data class TablesRead(val tables: Tables) : ServiceEvent

    /** The service still has the revision that was sent with the read. */
    public data object TablesUnchanged : ServiceEvent

    /** The service returned text that [parseTables] rejects with [faults]. */
    public data class TablesMalformed(val faults: List<TableFault>) : ServiceEvent

    /** The service didn't answer. */
    public data object ReadFailed : ServiceEvent

    public data class PeerConnected(override val peer: VmId, val dataCentre: DataCentreName) :
        PeerEvent

    public data class PeerDisconnected(override val peer: VmId) : PeerEvent

    public data class OfferReceived(override val peer: VmId, val offer: ConfigurationOffer) :
        PeerEvent

    /** A heartbeat from [peer] contained the [revision] that is active there. */
    public data class HeartbeatReceived(
        override val peer: VmId,
        val revision: Revision,
        val digest: Digest,
    ) : PeerEvent

    public data class PullReceived(override val peer: VmId, val pull: ConfigurationPull) :
        PeerEvent

    public data class PushReceived(override val peer: VmId, val push: ConfigurationPush) :
        PeerEvent

    /** Time has passed. This event must occur at least twice a second. */
    public data object Tick : ConfigurationEvent
}

/** An action that the process must perform after an event. */
public sealed interface ConfigurationAction {
    /** Sends [frame] to [peer]. */
    public data class Send(val peer: VmId, val frame: Frame) : ConfigurationAction

    /** Makes [tables] the active tables of the process. */
    public data class ActivateTables(val tables: JoinedTables, val digest: Digest) :
        ConfigurationAction

    /** Logs and counts [alarm]. */
    public data class RaiseAlarm(val alarm: ConfigurationAlarm, val detail: String) :
        ConfigurationAction

    /**
     * Reads the configuration service at [at].
     *
     * [knownRevision] is sent with the read, so that the service can answer briefly if it has no
     * other revision.
     */
    public data class ReadService(val at: Timestamp, val knownRevision: Revision?) :
        ConfigurationAction
}

/**
 * A kind of alarm. The occurrences of each kind are counted.
 *
 * @property code the label of the counter
 * @property remedy the instruction for the operator
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
