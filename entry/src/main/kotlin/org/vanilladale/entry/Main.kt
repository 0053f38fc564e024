package org.vanilladale.entry

/** Starts the program. */
public fun main() {
    println("not available yet")
}
