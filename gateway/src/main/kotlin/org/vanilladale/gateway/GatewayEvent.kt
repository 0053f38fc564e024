package org.vanilladale.gateway

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One decision or change of belief of a gateway; each subtype is one kind of log line. */
@Serializable
public sealed interface GatewayEvent {
    /** The process started; [tookMilliseconds] from the start of its runtime. */
    @Serializable
    @SerialName("started")
    public data class Started(val dataCentre: String, val tookMilliseconds: Long) : GatewayEvent

    /** The planned stop began or ended. */
    @Serializable
    @SerialName("stopping")
    public data class Stopping(val stage: String, val inFlight: Int) : GatewayEvent

    /** Settings were read anew. */
    @Serializable
    @SerialName("reloaded")
    public data class Reloaded(val seeds: Int, val fault: String? = null) : GatewayEvent

    /** A configuration came into force. */
    @Serializable
    @SerialName("tables-in-force")
    public data class TablesActivated(val revision: Long, val previous: Long?) : GatewayEvent

    /** A target was listed, changed or removed. */
    @Serializable
    @SerialName("target-changed")
    public data class TargetChanged(
        val target: String,
        val change: String,
        val address: String? = null,
        val position: Long,
    ) : GatewayEvent

    /** The store became unreadable or readable again. */
    @Serializable
    @SerialName("store")
    public data class StoreState(
        val state: String,
        val position: Long?,
        val reason: String? = null,
    ) : GatewayEvent

    /** A peer was heard for the first time, again, or no more. */
    @Serializable
    @SerialName("peer")
    public data class PeerState(val vm: String, val state: String, val live: Int) : GatewayEvent

    /** A target was chosen for an attempt. */
    @Serializable
    @SerialName("placed")
    public data class Placed(
        val request: String,
        val target: String,
        val attempt: Int,
        val waitedMilliseconds: Long,
        val running: Int,
        val leftMilliseconds: Long,
        val tablesRevision: Long,
    ) : GatewayEvent

    /** An attempt ended without a whole answer. */
    @Serializable
    @SerialName("attempt-failed")
    public data class AttemptFailed(
        val request: String,
        val target: String,
        val end: String,
        val detail: String,
        val tookMilliseconds: Long,
        val lastEvent: Long? = null,
    ) : GatewayEvent

    /** A request goes to another target. */
    @Serializable
    @SerialName("resent")
    public data class Resent(val request: String, val reason: String) : GatewayEvent

    /** A request was refused. */
    @Serializable
    @SerialName("refused")
    public data class Refused(
        val request: String?,
        val reason: String,
        val status: Int,
        val run: String,
        val detail: String? = null,
        val returnInMilliseconds: Long? = null,
        val afterMilliseconds: Long,
        val tablesRevision: Long?,
    ) : GatewayEvent

    /** An answer was delivered to its end. */
    @Serializable
    @SerialName("answered")
    public data class Answered(
        val request: String,
        val route: String,
        val target: String,
        val status: Int,
        val attempts: Int,
        val tookMilliseconds: Long,
        val firstEventMilliseconds: Long? = null,
        val longestGapMilliseconds: Long? = null,
    ) : GatewayEvent

    /** The connection to a caller was closed in the middle of an answer. */
    @Serializable
    @SerialName("cut")
    public data class AnswerAborted(
        val request: String,
        val reason: String,
        val afterMilliseconds: Long,
        val lastEvent: Long?,
    ) : GatewayEvent

    /** The caller left before its answer was complete. */
    @Serializable
    @SerialName("caller-left")
    public data class CallerDisconnected(val request: String, val afterMilliseconds: Long) :
        GatewayEvent

    /** This process starts or ends to move the experts of a pool. */
    @Serializable
    @SerialName("expert-lead")
    public data class ExpertLeadership(val pool: String, val leads: Boolean) : GatewayEvent

    /**
     * What requests choose was read because a group was slow; [moved] is the part of the choices
     * that moved to other experts, absent without usable counts.
     */
    @Serializable
    @SerialName("expert-demand")
    public data class ExpertDemandRead(
        val pool: String,
        val slowdown: Double,
        val moved: Double?,
        val slowRanks: Int,
    ) : GatewayEvent

    /** A switch of a group's maps ended. */
    @Serializable
    @SerialName("map-switch")
    public data class MapSwitchEnded(
        val group: String,
        val version: Long,
        val result: String,
        val copies: Int,
        val skewBefore: Double,
        val skewAfter: Double,
        val tookMilliseconds: Long,
    ) : GatewayEvent

    /** A group that was held or armed half way was released, or not. */
    @Serializable
    @SerialName("group-recovered")
    public data class GroupRecovered(
        val group: String,
        val recovered: Boolean,
        val cause: String,
    ) : GatewayEvent
}
