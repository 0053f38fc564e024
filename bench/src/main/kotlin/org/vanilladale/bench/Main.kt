package org.vanilladale.bench

/** Starts the program. */
public fun main() {
    println("not available yet")
}
