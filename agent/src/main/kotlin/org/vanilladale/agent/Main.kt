package org.vanilladale.agent

/** Starts the program. */
public fun main() {
    println("not available yet")
}
