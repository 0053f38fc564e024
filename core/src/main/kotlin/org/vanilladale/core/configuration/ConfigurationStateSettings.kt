package org.vanilladale.core.configuration

import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.VmId

private const val DEFAULT_SETTLE_MILLISECONDS = 2_000L
private const val DEFAULT_PEERS_MILLISECONDS = 10_000L
private const val DEFAULT_LOST_PEER_MILLISECONDS = 60_000L
private const val DEFAULT_PULL_TIMEOUT_MILLISECONDS = 2_000L
private const val DEFAULT_STORED_BY = 3
private const val DEFAULT_FAN_OUT = 8
private const val DEFAULT_MAX_STORED_REVISIONS = 8

/** Settings of [ConfigurationState], built by [configurationStateSettings]. */
public class ConfigurationStateSettings internal constructor(
    public val self: VmId,
    public val dataCentre: DataCentreName,
) {
    /** Other processes that store a revision before it is accepted. */
    public var storedBy: Int = DEFAULT_STORED_BY

    /** Wait after the start before fewer known peers than [storedBy] are enough. */
    public var peersMilliseconds: Long = DEFAULT_PEERS_MILLISECONDS

    /**
     * Time that a revision is stored before it can be accepted. It has to exceed the time in which
     * offers cross the fleet twice, so that two contents of one revision meet before either is
     * accepted.
     */
    public var settleMilliseconds: Long = DEFAULT_SETTLE_MILLISECONDS

    /**
     * Time for which a lost peer counts as known. Without it a process that a partition isolates
     * would accept at once by itself.
     */
    public var lostPeerMilliseconds: Long = DEFAULT_LOST_PEER_MILLISECONDS

    /** Time after which an unanswered pull goes to another peer. */
    public var pullTimeoutMilliseconds: Long = DEFAULT_PULL_TIMEOUT_MILLISECONDS

    /** Peers that get each offer at once; the others learn from heartbeats. */
    public var fanOut: Int = DEFAULT_FAN_OUT

    /** Revisions kept as bases of deltas. */
    public var maxStoredRevisions: Int = DEFAULT_MAX_STORED_REVISIONS
}

/** Builds the settings of the process [self]. */
public fun configurationStateSettings(
    self: VmId,
    dataCentre: DataCentreName,
    block: ConfigurationStateSettings.() -> Unit = {},
): ConfigurationStateSettings = ConfigurationStateSettings(self, dataCentre).apply(block)
