package org.vanilladale.standins

/** Starts the program. */
public fun main() {
    println("not available yet")
}
