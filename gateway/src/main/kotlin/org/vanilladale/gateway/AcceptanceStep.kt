package org.vanilladale.gateway

/**
 * Steps of a request at which a planned stop decides whether it can still end in time. [code] names
 * the step in the log.
 */
internal enum class AcceptanceStep(val code: String) {
    /** The head was received. */
    HEAD("head"),

    /** The body was received completely. */
    BODY("body"),

    /** A target has a slot for the request. */
    SLOT("slot"),
}
