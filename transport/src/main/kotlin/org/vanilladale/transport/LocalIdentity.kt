package org.vanilladale.transport

import java.security.MessageDigest
import org.vanilladale.schema.Hello
import org.vanilladale.schema.Welcome

/**
 * What this process says of itself in a handshake.
 *
 * @property identity name, role and incarnation of this process
 * @property secret shared by the system's own processes
 */
public class LocalIdentity(public val identity: PeerIdentity, private val secret: String) {
    internal fun hello(): Hello = Hello(
        protocol = PROTOCOL_VERSION,
        role = identity.role,
        sender = identity.vm,
        secret = secret,
        dataCentre = identity.dataCentre,
        incarnation = identity.incarnation,
        target = identity.target,
    )

    internal fun welcome(): Welcome = Welcome(
        sender = identity.vm,
        role = identity.role,
        incarnation = identity.incarnation,
        dataCentre = identity.dataCentre,
        target = identity.target,
    )

    /** Compares in constant time, so that response times tell nothing of the secret. */
    internal fun accepts(hello: Hello): Boolean {
        val sameSecret = MessageDigest.isEqual(hello.secret.toByteArray(), secret.toByteArray())
        return sameSecret && hello.protocol == PROTOCOL_VERSION
    }

    public companion object {
        /** Version of the frames; both ends of a connection must have the same one. */
        public const val PROTOCOL_VERSION: Int = 2
    }
}
