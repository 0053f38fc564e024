package org.vanilladale.systemtests

import java.net.InetAddress
import java.net.ServerSocket
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

/** Guards against a process that listens nowhere and still looks alive. */
class TakenAddressTest {
    @Test
    fun `an agent whose address is taken ends and names the remedy`() {
        Fleet().use { fleet ->
            val process = occupied(fleet.port("agent-orders-0")) {
                fleet.startService("orders-0")
                fleet.processes.getValue("agent-orders-0").also { it.exitCodeOrNull(END_SECONDS) }
            }
            expectThat(process.exitCodeOrNull(0)).isEqualTo(1)
            expectThat(process.log.readText()).contains("that no other process uses")
        }
    }

    @Test
    fun `an entry whose address is taken ends and names the remedy`() {
        Fleet().use { fleet ->
            val process = occupied(fleet.port("peer-entry-0")) {
                fleet.startEntry("entry-0")
                fleet.processes.getValue("entry-0").also { it.exitCodeOrNull(END_SECONDS) }
            }
            expectThat(process.exitCodeOrNull(0)).isEqualTo(1)
            expectThat(process.log.readText()).contains("that no other process uses")
        }
    }

    private fun <R> occupied(port: Int, block: () -> R): R =
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).use { block() }

    private companion object {
        const val END_SECONDS = 20L
    }
}
