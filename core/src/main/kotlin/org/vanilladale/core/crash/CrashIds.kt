package org.vanilladale.core.crash

import org.vanilladale.core.hash.hexadecimalOf
import org.vanilladale.core.hash.sha256OfFields
import org.vanilladale.schema.CrashId
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.TargetId

/**
 * Returns the id of the crash with the number [ordinal] that the agent of [target] detected during
 * its [incarnation].
 *
 * The id depends only on these values, so a report that is sent twice counts as one crash.
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
