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

/** Settings of a [ConfigurationState]. Use [configurationStateSettings] to create an instance. */
public class ConfigurationStateSettings internal constructor(
    public val self: VmId,
    public val dataCentre: DataCentreName,
) {
    /** Number of other processes that must store a revision before it is accepted. */
    public var storedBy: Int = DEFAULT_STORED_BY

    /**
     * Time after the start during which [storedBy] copies are required even if fewer peers are
     * known. After it, if fewer peers are known, a copy at each of them is enough.
     */
    public var peersMilliseconds: Long = DEFAULT_PEERS_MILLISECONDS

    /**
     * Time for which a revision must be stored before it can be accepted.
     *
     * It must exceed the time that offers take to cross the fleet twice. Then two different
     * contents of the same revision are detected before either is accepted.
     */
    public var settleMilliseconds: Long = DEFAULT_SETTLE_MILLISECONDS

    /**
     * Time for which a disconnected peer still counts as known.
     *
     * Without it, a process isolated by a network partition would immediately accept revisions on
     * its own.
     */
    public var lostPeerMilliseconds: Long = DEFAULT_LOST_PEER_MILLISECONDS

    /** Time after which an unanswered pull is retried, possibly from another peer. */
    public var pullTimeoutMilliseconds: Long = DEFAULT_PULL_TIMEOUT_MILLISECONDS

    /**
     * Number of peers that are sent a new offer immediately. The others learn it from heartbeats.
     */
    public var fanOut: Int = DEFAULT_FAN_OUT

    /** Maximum number of revisions kept as bases for deltas. */
    public var maxStoredRevisions: Int = DEFAULT_MAX_STORED_REVISIONS
}

/** Creates the settings of the process [self] and applies [block] to them. */
public fun configurationStateSettings(
    self: VmId,
    dataCentre: DataCentreName,
    block: ConfigurationStateSettings.() -> Unit = {},
): ConfigurationStateSettings = ConfigurationStateSettings(self, dataCentre).apply(block)
