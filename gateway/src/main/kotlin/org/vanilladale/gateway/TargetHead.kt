package org.vanilladale.gateway

import org.vanilladale.schema.Deadline

/**
 * Head of a target's answer, independent of the protocol.
 *
 * @property echoesRequest whether the answer contains the id of the request that was sent
 * @property namesOtherRequest whether the answer contains the id of another request
 * @property isSigned whether the answer comes from the service itself
 * @property isNotRun whether the target states that it did not run the request
 * @property isOtherTarget whether the address belongs to another target than the expected one
 * @property isOtherMedia whether the answer states that its body is no stream of events
 * @property isEncoded whether the body has a content encoding that was not requested
 * @property isLeaving whether the target says that it is leaving
 * @property pauseEnd time until which the target wants no requests from this entry, if it says so
 * @property oddStatements values of such statements that were ignored or changed
 */
public data class TargetHead(
    val status: Int,
    val echoesRequest: Boolean,
    val namesOtherRequest: Boolean,
    val isSigned: Boolean,
    val isNotRun: Boolean,
    val isOtherTarget: Boolean,
    val isOtherMedia: Boolean,
    val isEncoded: Boolean,
    val isLeaving: Boolean = false,
    val pauseEnd: Deadline? = null,
    val oddStatements: List<String> = emptyList(),
) {
    /**
     * True for a final status of HTTP. A target in trouble may send another one, such as 000; then
     * nothing in its answer can be relied on.
     */
    public val hasValidStatus: Boolean get() = status in FINAL_STATUSES

    /**
     * True if the answer is about this request and from the expected target, so that what it says
     * of its sender holds for that target.
     */
    public val speaksForTarget: Boolean
        get() = hasValidStatus && echoesRequest && !isOtherTarget && (isSigned || isNotRun)

    /** True for a status that indicates success. */
    public val isSuccess: Boolean get() = status in SUCCESS_STATUSES

    /** True for a status by which a target reports its own failure. */
    public val isFailure: Boolean get() = status >= FIRST_FAILURE_STATUS

    private companion object {
        val FINAL_STATUSES = 200..599
        val SUCCESS_STATUSES = 200..299
        const val FIRST_FAILURE_STATUS = 500
    }
}
