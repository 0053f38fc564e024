package org.vanilladale.runtime

import arrow.core.getOrElse
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.vanilladale.core.configuration.configurationStateSettings
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.Role
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.VmId
import org.vanilladale.transport.ConnectionTiming
import org.vanilladale.transport.LocalIdentity
import org.vanilladale.transport.PeerConnection
import org.vanilladale.transport.PeerIdentity
import org.vanilladale.transport.PeerNetwork
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isNull

class ConfigurationSpreadTest {
    private val scope = CoroutineScope(Dispatchers.Default)
    private val dataCentre = DataCentreName.parse("lodz-1")
    private val address = SocketAddressText.parse("127.0.0.1:${FreePorts.take()}")
    private val agent = network("vm-agent", incarnation = 1)
    private val spread = ConfigurationSpread(
        scope,
        configurationStateSettings(VmId.parse("vm-agent"), dataCentre),
        { ConfigurationRead.Failed },
        ConfigurationHolder(),
        SystemCounters(),
        ::systemNow,
        Random(1),
    ) {}

    @AfterEach
    fun close() {
        scope.cancel()
        agent.close()
    }

    private fun network(vm: String, incarnation: Long) = PeerNetwork(
        LocalIdentity(
            PeerIdentity(VmId.parse(vm), Role.ENTRY, dataCentre, Incarnation(incarnation)),
            "secret",
        ),
        ConnectionTiming(heartbeatMilliseconds = 1_000, silenceMilliseconds = 20_000),
        ::systemNow,
    )

    @Test
    fun `a process that is replaced keeps its connection for the requests in flight`() =
        runBlocking<Unit> {
            val connected = Channel<Unit>(Channel.UNLIMITED)
            agent.listen(scope, address) { connection ->
                spread.connected(connection)
                connected.send(Unit)
                connection.run({ Heartbeat() }) {}
                spread.disconnected(connection)
            }
            network("entry-0", incarnation = 1).use { replaced ->
                network("entry-0", incarnation = 2).use { successor ->
                    val first = dial(replaced, connected)
                    dial(successor, connected)
                    val end = withTimeoutOrNull(OPEN_MILLISECONDS) { first.closed.await() }
                    expectThat(end).isNull()
                    expectThat(spread.peers.map { it.vm.text to it.connections })
                        .containsExactly("entry-0" to 2)
                }
            }
        }

    private suspend fun dial(network: PeerNetwork, connected: Channel<Unit>): PeerConnection {
        val connection = network.dial(address).getOrElse { error(it.message) }
        scope.launch { connection.run({ Heartbeat() }) {} }
        withTimeout(CONNECT_MILLISECONDS) { connected.receive() }
        return connection
    }

    private companion object {
        const val CONNECT_MILLISECONDS = 10_000L
        const val OPEN_MILLISECONDS = 1_000L
    }
}
