package org.vanilladale.bench.peers

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.vanilladale.schema.Role
import org.vanilladale.schema.SocketAddressText

/** Idle peers of one entry or one agent in one process, for measurements of control cost. */
public class PeersCommand : CliktCommand("peers") {
    init {
        subcommands(AgentPeersCommand(), EntryPeersCommand())
    }

    override fun help(context: Context): String =
        "Idle peers of one entry or agent; prints frame bytes a second seen from the peers"

    override fun run(): Unit = Unit
}

private abstract class IdlePeersCommand(name: String) : CliktCommand(name) {
    protected val count by option(help = "Number of peers").int().required()
    protected val secret by option(help = "Secret of the peers").default("secret")
    private val reportSeconds by option(help = "Time between two reports").long().default(10)

    protected suspend fun report(traffic: PeerTraffic) {
        while (true) {
            val before = traffic.snapshot()
            delay(reportSeconds * MILLISECONDS_PER_SECOND)
            val after = traffic.snapshot()
            echo(
                "connections ${after.connections} ended ${after.ended} " +
                    "received ${(after.received - before.received) / reportSeconds} B/s " +
                    "sent ${(after.sent - before.sent) / reportSeconds} B/s",
            )
        }
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}

private class AgentPeersCommand : IdlePeersCommand("agents") {
    private val firstPort by option(help = "Port of target t0; t1 has the next one").int()
        .required()

    override fun help(context: Context): String = "Agents of targets t0, t1, ... that do nothing"

    override fun run(): Unit = runBlocking(Dispatchers.Default) {
        val traffic = PeerTraffic()
        val peers = IdlePeers(Role.AGENT, secret, traffic)
        repeat(count) { index ->
            val address = SocketAddressText.parse("127.0.0.1:${firstPort + index}")
            peers.listen(this, "t$index", address)
        }
        report(traffic)
    }
}

private class EntryPeersCommand : IdlePeersCommand("entries") {
    private val address by option(help = "Peer address of the agent").required()

    override fun help(context: Context): String = "Entries that connect to one agent"

    override fun run(): Unit = runBlocking(Dispatchers.Default) {
        val traffic = PeerTraffic()
        val peers = IdlePeers(Role.ENTRY, secret, traffic)
        repeat(count) { index ->
            launch { peers.dialForever("e$index", SocketAddressText.parse(address)) }
        }
        launch { report(traffic) }
        awaitCancellation()
    }
}
