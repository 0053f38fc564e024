package org.vanilladale.core.configuration

import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.VmId

private const val SETTLE_MILLISECONDS = 2_000L
private const val PEERS_MILLISECONDS = 10_000L
private const val FORGET_MILLISECONDS = 60_000L
private const val PULL_MILLISECONDS = 2_000L
private const val STORED_BY = 3
private const val FAN_OUT = 8
private const val KEPT_REVISIONS = 8

/** Settings of [ConfigurationState], built by [configurationStateSettings]. */
public class ConfigurationStateSettings internal constructor(
    public val self: VmId,
    public val dataCentre: DataCentreName,
) {
    /** Other processes that store a revision before it is accepted. */
    public var storedBy: Int = STORED_BY

    /** Wait after the start before fewer known peers than [storedBy] are enough. */
    public var peersMilliseconds: Long = PEERS_MILLISECONDS

    /**
     * Time that a revision is stored before it can be accepted. It has to exceed the time in which
     * offers cross the fleet twice, so that two contents of one revision meet before either is
     * accepted.
     */
    public var settleMilliseconds: Long = SETTLE_MILLISECONDS

    /**
     * Time for which a lost peer counts as known. Without it a process that a partition isolates
     * would accept at once by itself.
     */
    public var forgetMilliseconds: Long = FORGET_MILLISECONDS

    /** Time after which an unanswered pull goes to another peer. */
    public var pullMilliseconds: Long = PULL_MILLISECONDS

    /** Peers that get each offer at once; the others learn from heartbeats. */
    public var fanOut: Int = FAN_OUT

    /** Revisions kept as bases of deltas. */
    public var keptRevisions: Int = KEPT_REVISIONS
}

/** Builds the settings of the process [self]. */
public fun configurationStateSettings(
    self: VmId,
    dataCentre: DataCentreName,
    block: ConfigurationStateSettings.() -> Unit = {},
): ConfigurationStateSettings = ConfigurationStateSettings(self, dataCentre).apply(block)
