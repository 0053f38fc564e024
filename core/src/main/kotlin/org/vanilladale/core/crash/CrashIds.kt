package org.vanilladale.core.crash

import org.vanilladale.core.hash.hexadecimalOf
import org.vanilladale.core.hash.sha256OfFields
import org.vanilladale.schema.CrashId
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.TargetId

/**
 * Returns the id of the crash number [ordinal] that the agent of [target] saw in its incarnation.
 *
 * The id depends on these values only, so a report that is sent twice counts as one crash.
 */
public fun crashIdOf(target: TargetId, incarnation: Incarnation, ordinal: Long): CrashId =
    CrashId.parse(
        hexadecimalOf(
            sha256OfFields(
                listOf(target.text, incarnation.toString(), ordinal.toString())
                    .map { it.toByteArray() },
            ),
        ),
    )
