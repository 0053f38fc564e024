package org.vanilladale.transport

import org.vanilladale.schema.SocketAddressText

/**
 * Why a dialled connection did not come up.
 *
 * @property message what was found and what to do
 */
public sealed class DialFault(public val message: String) {
    /** The network refused the connection or lost it during the handshake. */
    public class Unreachable(address: SocketAddressText, detail: String?) :
        DialFault("$address is unreachable ($detail); check that the process runs")

    /** Connect, hello and welcome took too long. */
    public class Timeout(address: SocketAddressText) :
        DialFault("$address did not answer the handshake in time; check the network path")

    /** The peer closed the connection or sent something else than a welcome. */
    public data object NotWelcome :
        DialFault("the peer refused the hello; check peerSecret and the version")
}
