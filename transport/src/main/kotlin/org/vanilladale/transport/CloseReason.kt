package org.vanilladale.transport

/**
 * Why a connection ended.
 *
 * @property code label of the counter
 */
public enum class CloseReason(public val code: String) {
    /** This side closed it. */
    LOCAL("local"),

    /** The peer closed it or the network reported an error. */
    REMOTE("remote"),

    /** No frame came before the silence deadline. */
    SILENT("silent"),

    /** A frame could not be read. */
    MALFORMED("malformed"),
}
