package org.vanilladale.core.placement

import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.Rank

/** One copy of [expert] on [rank]. */
public data class ExpertCopy(val expert: ExpertId, val rank: Rank)
