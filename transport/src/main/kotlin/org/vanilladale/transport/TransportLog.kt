package org.vanilladale.transport

import org.tinylog.kotlin.Logger

internal object TransportLog {
    fun faultyFrame(remote: PeerIdentity, fault: FrameFault) {
        Logger.warn { "transport: connection to ${remote.vm} closed: ${fault.message}" }
    }

    fun handshakeFailed(address: String, detail: String?) {
        Logger.info { "transport: handshake with $address failed: $detail" }
    }
}
