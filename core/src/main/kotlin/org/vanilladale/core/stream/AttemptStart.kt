package org.vanilladale.core.stream

import org.vanilladale.schema.Attempt

/**
 * Values for the Submit frame of an attempt.
 *
 * @property offset position at which the attempt's first frame is expected
 * @property delivered text of the answer before [offset]; the engine continues from it
 */
public data class AttemptStart(val attempt: Attempt, val offset: Long, val delivered: String)
