package org.vanilladale.gateway

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One decision or state change of a gateway. Each subtype is one kind of log line. */
@Serializable
public sealed interface GatewayEvent {
    /** The process started; [tookMilliseconds] is the time since the start of its runtime. */
    @Serializable
    @SerialName("started")
    public data class Started(val dataCentre: String, val tookMilliseconds: Long) : GatewayEvent

    /**
     * A planned stop reached [stage] [afterMilliseconds] after it began: `began`, `ended` when it
     * waits for no more answers, or `closed` when the process ends.
     */
    @Serializable
    @SerialName("stopping")
    public data class Stopping(
        val stage: String,
        val inFlight: Int,
        val connections: Int,
        val afterMilliseconds: Long,
    ) : GatewayEvent

    /**
     * A request was accepted during a planned stop at [step]. It takes [latestMilliseconds] at most
     * and usually no longer than [likelyMilliseconds], null if unknown; after [leftMilliseconds]
     * the stop ends it.
     */
    @Serializable
    @SerialName("accepted-while-leaving")
    public data class AcceptedWhileLeaving(
        val request: String,
        val step: String,
        val likelyMilliseconds: Long?,
        val latestMilliseconds: Long,
        val leftMilliseconds: Long,
    ) : GatewayEvent

    /** Settings were reloaded. */
    @Serializable
    @SerialName("reloaded")
    public data class Reloaded(val seeds: Int, val fault: String? = null) : GatewayEvent

    /** A configuration took effect. */
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

    /**
     * The evacuation of [dataCentre] began (`began`) or was cancelled (`ended`). Its [targets] get
     * no requests in between.
     */
    @Serializable
    @SerialName("evacuation")
    public data class Evacuation(
        val dataCentre: String,
        val state: String,
        val targets: Int,
        val position: Long,
    ) : GatewayEvent

    /**
     * A target that this entry uses became cold (`cold`) or ceased to be (`warm`). Only one entry
     * sends requests to a cold target; [isOwner] tells whether it is this one.
     */
    @Serializable
    @SerialName("cold-target")
    public data class ColdTarget(val target: String, val state: String, val isOwner: Boolean) :
        GatewayEvent

    /**
     * A target said in its answer to [request] that it is leaving (`leaving`) or wants no requests
     * for [pauseMilliseconds] (`pause`), or something that is neither (`odd`).
     */
    @Serializable
    @SerialName("target-says")
    public data class TargetStatement(
        val target: String,
        val statement: String,
        val request: String,
        val detail: String? = null,
        val pauseMilliseconds: Long? = null,
    ) : GatewayEvent

    /**
     * The store became unavailable or available again, or lost its history.
     *
     * @property callMilliseconds duration of the call that showed it
     * @property silentMilliseconds time since the previous answer of the store
     * @property failedCalls number of calls without an answer in that time
     */
    @Serializable
    @SerialName("store")
    public data class StoreState(
        val state: String,
        val position: Long?,
        val callMilliseconds: Long,
        val silentMilliseconds: Long,
        val failedCalls: Int,
        val reason: String? = null,
    ) : GatewayEvent

    /**
     * The store was restored from an older copy: its era rose from [previous] to [era].
     *
     * @property lostRevisions number of known revisions that the copy lacks, as far as known
     * @property targets number of targets that the copy has otherwise than they were known
     */
    @Serializable
    @SerialName("store-era")
    public data class StoreRestored(
        val previous: Long,
        val era: Long,
        val lostRevisions: Long,
        val targets: Int,
    ) : GatewayEvent

    /** A peer was detected for the first time or again, or is considered lost. */
    @Serializable
    @SerialName("peer")
    public data class PeerState(val vm: String, val state: String, val live: Int) : GatewayEvent

    /** A target was chosen for an attempt. [priority] is null while all requests have the same. */
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
        val priority: Int? = null,
    ) : GatewayEvent

    /** An attempt ended without a complete answer. */
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

    /**
     * A target has sent nothing for too long, as [detail] says. Its attempt goes on, and another
     * target is asked if possible.
     */
    @Serializable
    @SerialName("target-silent")
    public data class TargetSilent(
        val request: String,
        val target: String,
        val detail: String,
        val tookMilliseconds: Long,
        val lastEvent: Long? = null,
    ) : GatewayEvent

    /**
     * An attempt was ended because that at target [by] went on first, or because another target had
     * answered with an error.
     */
    @Serializable
    @SerialName("attempt-superseded")
    public data class AttemptSuperseded(val request: String, val target: String, val by: String?) :
        GatewayEvent

    /** A request is sent to another target. */
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

    /** An answer was delivered completely. */
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

    /** How much of an answer its caller has been sent. */
    @Serializable
    public data class AnswerProgress(
        /** Attempts that were begun. */
        val attempts: Int,

        /** Events of a stream. */
        val events: Int,

        /** Id of the last event, or of the one after which the caller resumed. */
        val lastEvent: Long?,

        /** Bytes of the body that were passed to the connection. */
        val bytes: Long,
    )

    /**
     * A request ended without a whole answer, after [afterMilliseconds].
     *
     * @property reason what ended it: a decision of this entry, or the end of the connection
     * @property step how far the request had come, in words
     */
    @Serializable
    @SerialName("cut")
    public data class AnswerAborted(
        val request: String,
        val reason: String,
        val step: String,
        val progress: AnswerProgress,
        val afterMilliseconds: Long,
    ) : GatewayEvent

    /**
     * The caller disconnected before its answer was complete.
     *
     * @property reason how the connection ended
     * @property step how far the request had come, in words
     */
    @Serializable
    @SerialName("caller-left")
    public data class CallerDisconnected(
        val request: String,
        val reason: String,
        val step: String,
        val progress: AnswerProgress,
        val afterMilliseconds: Long,
    ) : GatewayEvent

    /**
     * A target crashed with a request that has [trait], or answered one again. [state] is `suspect`
     * or `cleared`.
     */
    @Serializable
    @SerialName("crash-suspect")
    public data class CrashSuspect(val trait: String, val state: String, val request: String) :
        GatewayEvent

    /** This process became the leader that moves the experts of a pool, or ceased to be. */
    @Serializable
    @SerialName("expert-lead")
    public data class ExpertLeadership(val pool: String, val leads: Boolean) : GatewayEvent

    /**
     * The expert demand was read because a group was slow. [moved] is the share of expert choices
     * that moved to other experts, or null without usable counts; the log line
     * then leaves it out.
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

    /** The recovery of a group that was held or partly armed succeeded or failed. */
    @Serializable
    @SerialName("group-recovered")
    public data class GroupRecovered(
        val group: String,
        val recovered: Boolean,
        val cause: String,
    ) : GatewayEvent
}
