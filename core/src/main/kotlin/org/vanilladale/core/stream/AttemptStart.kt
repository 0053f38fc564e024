package org.vanilladale.core.stream

import org.vanilladale.schema.Attempt

/**
 * Values for the Submit frame of an attempt.
 *
 * @property offset expected offset of the first frame of the attempt
 * @property delivered text of the answer before [offset], which the engine continues
 */
public data class AttemptStart(val attempt: Attempt, val offset: Long, val delivered: String)
