package org.vanilladale.core.settings

/**
 * Why settings can't be used.
 *
 * @property found field and value as the parser or check met them
 */
public data class SettingsFault(val found: String) {
    /** What was found and what to do. */
    val message: String
        get() = "settings: $found; correct this field, docs/OPERATIONS.md lists all fields"
}
