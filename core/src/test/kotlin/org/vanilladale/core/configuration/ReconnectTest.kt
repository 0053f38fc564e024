package org.vanilladale.core.configuration

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.core.configuration.ConfigurationAction.ActivateTables
import org.vanilladale.core.configuration.ConfigurationAction.Send
import org.vanilladale.core.configuration.ConfigurationEvent.OfferReceived
import org.vanilladale.core.configuration.ConfigurationEvent.PeerConnected
import org.vanilladale.core.configuration.ConfigurationEvent.TablesRead
import org.vanilladale.schema.ConfigurationOffer
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

/**
 * Guards against offers that are lost when two processes connect to each other at the same time.
 */
class ReconnectTest {
    private val peer = VmId.parse("vm-1")
    private val dataCentre = DataCentreName.parse("lodz-1")
    private val tables = tables(revision = 1)
    private val offer = ConfigurationOffer(tables.revision, digestOf(tables), accepted = false)

    private fun time(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)

    private fun state() = ConfigurationState(
        configurationStateSettings(VmId.parse("vm-0"), dataCentre) { peersMilliseconds = 0 },
        ServiceReadSchedule(Random(1)),
        time(0),
    )

    @Test
    fun `a second connection to a peer keeps what the peer offered`() {
        val state = state()
        state.handle(PeerConnected(peer, dataCentre), time(0))
        state.handle(TablesRead(tables), time(0))
        state.handle(OfferReceived(peer, offer), time(10))
        state.handle(PeerConnected(peer, dataCentre), time(20))
        val actions = state.handle(ConfigurationEvent.Tick, time(2_500))
        expectThat(actions.filterIsInstance<ActivateTables>().size).isEqualTo(1)
    }

    @Test
    fun `own offers are sent again over a second connection to a peer`() {
        val state = state()
        state.handle(PeerConnected(peer, dataCentre), time(0))
        state.handle(TablesRead(tables), time(0))
        val actions = state.handle(PeerConnected(peer, dataCentre), time(20))
        expectThat(actions).contains(Send(peer, offer))
    }
}
