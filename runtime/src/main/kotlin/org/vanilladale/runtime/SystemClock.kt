package org.vanilladale.runtime

import org.vanilladale.schema.Timestamp

/** Returns the wall clock of this VM. */
public fun systemNow(): Timestamp = Timestamp.fromEpochMilliseconds(System.currentTimeMillis())
