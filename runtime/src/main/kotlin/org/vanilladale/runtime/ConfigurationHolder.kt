package org.vanilladale.runtime

import java.util.concurrent.atomic.AtomicReference
import org.vanilladale.core.configuration.JoinedTables

/** The tables that are in force in this process. */
public class ConfigurationHolder {
    private val reference = AtomicReference<JoinedTables?>(null)

    /** Tables in force, or null before the first ones are accepted. */
    public val current: JoinedTables? get() = reference.get()

    /** Puts [tables] in force unless a newer revision is; returns whether it did. */
    public fun offer(tables: JoinedTables): Boolean {
        while (true) {
            val held = reference.get()
            if (held != null && held.revision >= tables.revision) return false
            if (reference.compareAndSet(held, tables)) return true
        }
    }
}
