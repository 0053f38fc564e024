package org.vanilladale.bench.rollout

/** What happens in a run. */
internal enum class RolloutCondition(val code: String) {
    /** A new version is published for a pool that serves. */
    EDIT("edit"),

    /** As [EDIT], with the second target of the order dead and the first one paused for 60 s. */
    FAULTS("faults"),

    /** A third of the targets returns with empty memory; the tables don't change. */
    RETURN("return"),

    /** As [EDIT], with another version 45 s later. */
    REDIRECT("redirect"),
}

/** Who may load at the same time. */
internal enum class RolloutVariant(val code: String, val loadSharePercent: Int) {
    SHARE("quarter", 25),
    ALL("all at once", 100),
    ONE("one at a time", 1),
}
