package org.vanilladale.core.refusal

import org.vanilladale.schema.RunState

/**
 * Reason for which a request is refused. Each reason has a counter.
 *
 * @property code label of the counter, and `reason` field of the answer
 * @property httpStatus HTTP status of the answer to the caller
 * @property run whether the request ran, as far as it follows from the reason alone
 * @property remedy action that the caller or operator can take
 */
public enum class RefusalReason(
    public val code: String,
    public val httpStatus: Int,
    public val run: RunState,
    public val remedy: String,
) {
    MALFORMED_REQUEST(
        "malformed-request",
        400,
        RunState.NO,
        "Correct the named header or body and send the request again.",
    ),
    BODY_TOO_LARGE("body-too-large", 413, RunState.NO, "Send a smaller body."),
    BODY_TOO_SLOW(
        "body-too-slow",
        408,
        RunState.NO,
        "Send the whole body before the body deadline.",
    ),
    NO_CONFIGURATION(
        "no-configuration",
        503,
        RunState.NO,
        "Wait until this entry has learned the tables, or use another entry.",
    ),
    NO_ROUTE("no-route", 404, RunState.NO, "Use a request kind that the table of routes names."),
    BINDING_REQUIRED(
        "binding-required",
        428,
        RunState.NO,
        "Ask POST /v1/bindings first and send the binding with each repeat.",
    ),
    BINDING_MALFORMED(
        "binding-malformed",
        400,
        RunState.NO,
        "Send the binding exactly as POST /v1/bindings returned it.",
    ),
    BINDING_EXPIRED(
        "binding-expired",
        409,
        RunState.UNKNOWN,
        "Look up whether the request ran before asking for a new binding.",
    ),
    BINDING_LOST(
        "binding-lost",
        409,
        RunState.UNKNOWN,
        "The target of the binding restarted; look up whether the request ran.",
    ),
    BINDING_CONFLICT(
        "binding-conflict",
        409,
        RunState.UNKNOWN,
        "The request key is bound already; repeat with the first binding.",
    ),
    CANCELLED(
        "cancelled",
        409,
        RunState.NO,
        "Ask for a new binding if the request is still wanted.",
    ),
    OUTCOME_UNKNOWN(
        "outcome-unknown",
        502,
        RunState.UNKNOWN,
        "Look up whether the request ran before sending it anew.",
    ),
    NO_TARGET("no-target", 503, RunState.NO, "Retry later; operators check the pool's targets."),
    DEADLINE_TOO_SHORT(
        "deadline-too-short",
        503,
        RunState.NO,
        "Retry later or with a longer deadline.",
    ),
    DEADLINE_PASSED("deadline-passed", 504, RunState.UNKNOWN, "Retry with a longer deadline."),
    WORKSPACE_LIMIT(
        "workspace-limit",
        429,
        RunState.NO,
        "Wait until requests of this workspace have completed.",
    ),
    TARGET_OVERLOADED("target-overloaded", 503, RunState.NO, "Retry after the given time."),
    RETRY_BUDGET_EMPTY(
        "retry-budget-empty",
        503,
        RunState.NO,
        "Retry later; targets fail more often than the route's retry budget allows.",
    ),
    LEAVING("leaving", 503, RunState.NO, "Use another entry from GET /v1/entries."),
    SUSPECT_CONVICTED(
        "suspect-convicted",
        422,
        RunState.NO,
        "This request crashed two targets; change its content.",
    ),
    SUSPECT_WAITING(
        "suspect-waiting",
        503,
        RunState.NO,
        "The request runs alone because a target crashed with it; retry after the given time.",
    ),
    SUSPECT_CONTENT(
        "suspect-content",
        503,
        RunState.NO,
        "Targets crashed with this content or a part of it; change it or retry after the time.",
    ),
    TARGET_FAILED("target-failed", 502, RunState.UNKNOWN, "Retry; operators check the target."),
    ANSWER_INTERRUPTED(
        "answer-interrupted",
        502,
        RunState.UNKNOWN,
        "Resume with the request key and the offset that you hold.",
    ),
    INTERNAL_FAULT(
        "internal-fault",
        500,
        RunState.UNKNOWN,
        "Look up whether the request ran; operators find the fault in the log of the entry.",
    ),
    LOADING("loading", 503, RunState.NO, "Retry later; the target loads a model version."),
    NO_ADAPTER(
        "no-adapter",
        503,
        RunState.NO,
        "Name an adapter of the pool, or retry once a target has loaded it.",
    ),
    UNKNOWN_KEY("unknown-key", 401, RunState.NO, "Send a key that a workspace holds."),
    NOT_AUTHORIZED("not-authorized", 401, RunState.NO, "Send the operator token."),
    ;

    public companion object {
        /** Returns the reason with [code], or null if this version does not know the code. */
        public fun fromCodeOrNull(code: String): RefusalReason? = byCode[code]

        private val byCode = entries.associateBy { it.code }
    }
}
