package org.vanilladale.core.settings

/**
 * A fault in the settings of a process.
 *
 * @property found the faulty field and its value, or the message of the parser
 */
public data class SettingsFault(val found: String) {
    /** A message for the operator with the fault and the remedy. */
    val message: String
        get() = "settings: $found; correct this field, docs/OPERATIONS.md lists all fields"
}
