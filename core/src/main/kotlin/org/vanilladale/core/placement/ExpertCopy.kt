package org.vanilladale.core.placement

import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.Rank

/** A copy of [expert] that is placed on [rank]. */
public data class ExpertCopy(val expert: ExpertId, val rank: Rank)
