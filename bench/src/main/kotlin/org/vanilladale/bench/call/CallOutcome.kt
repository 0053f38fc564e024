package org.vanilladale.bench.call

/**
 * How a call ended.
 *
 * @property exitCode exit code of the program; 2 is wrong usage, as Clikt sets it
 */
internal enum class CallOutcome(val code: String, val exitCode: Int) {
    WHOLE("whole", 0),
    REFUSED("refused", 1),
    UNREACHABLE("unreachable", 3),
    UNKNOWN("unknown", 4),
    NO_BINDINGS("no-bindings", 5),
    DAMAGED("damaged", 6),
}
