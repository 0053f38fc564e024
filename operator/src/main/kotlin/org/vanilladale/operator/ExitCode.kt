package org.vanilladale.operator

/** Exit codes of the command line; wrong usage is 2, as Clikt sets it. */
internal object ExitCode {
    const val FAULTS = 1
    const val UNREACHABLE = 3
}
