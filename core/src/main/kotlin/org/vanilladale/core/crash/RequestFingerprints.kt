package org.vanilladale.core.crash

import org.vanilladale.core.hash.hexadecimalOf
import org.vanilladale.core.hash.sha256OfFields
import org.vanilladale.schema.Fingerprint
import org.vanilladale.schema.RequestKey
import org.vanilladale.schema.RequestKind
import org.vanilladale.schema.WorkspaceId

/**
 * Hashes by which a request is recognized as a suspect.
 *
 * @property content hash of workspace, kind and content, which matches the same request with
 * another key
 * @property key hash of workspace and caller key, which matches the same request with changed
 * content
 */
public data class RequestFingerprints(val content: Fingerprint, val key: Fingerprint) {
    public companion object {
        /** Computes both fingerprints of a request. */
        public fun fromRequest(
            workspace: WorkspaceId,
            kind: RequestKind,
            key: RequestKey,
            content: ByteArray,
        ): RequestFingerprints = RequestFingerprints(
            content = fingerprintOf(
                "content".toByteArray(),
                workspace.text.toByteArray(),
                kind.text.toByteArray(),
                content,
            ),
            key = fingerprintOf(
                "key".toByteArray(),
                workspace.text.toByteArray(),
                key.text.toByteArray(),
            ),
        )

        private fun fingerprintOf(vararg fields: ByteArray): Fingerprint =
            Fingerprint.parse(hexadecimalOf(sha256OfFields(fields.asList())))
    }
}
