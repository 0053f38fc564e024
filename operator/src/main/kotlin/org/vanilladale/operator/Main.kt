package org.vanilladale.operator

/** Starts the program. */
public fun main() {
    println("not available yet")
}
