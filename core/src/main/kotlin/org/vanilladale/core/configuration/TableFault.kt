package org.vanilladale.core.configuration

/**
 * A fault in the operator tables.
 *
 * @property place the path of the faulty value, such as `routes[2].pool`
 * @property found the faulty value, or a description of it
 * @property remedy what to change
 */
public data class TableFault(val place: String, val found: String, val remedy: String) {
    override fun toString(): String = "$place: found $found; $remedy"
}
