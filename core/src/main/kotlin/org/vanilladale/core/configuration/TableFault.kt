package org.vanilladale.core.configuration

/**
 * One fault in the operator tables.
 *
 * @property place path of the faulty value, such as `routes[2].pool`
 * @property found what the table holds there
 * @property remedy what to change
 */
public data class TableFault(val place: String, val found: String, val remedy: String) {
    override fun toString(): String = "$place: found $found; $remedy"
}
