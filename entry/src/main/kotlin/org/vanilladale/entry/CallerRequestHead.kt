package org.vanilladale.entry

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import io.vertx.core.MultiMap
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.AdapterName
import org.vanilladale.schema.BindingText
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.PrefixId
import org.vanilladale.schema.RequestKey
import org.vanilladale.schema.RequestKind
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.WorkspaceId

/**
 * The headers of a caller's request.
 *
 * @property deadline deadline requested by the caller; null for the default of the route
 * @property offset number of UTF-16 code units of the answer that the caller already has
 * @property resumeTarget target that generated the part that the caller already has
 * @property adapter adapter to answer with; null for the base model
 */
internal data class CallerRequestHead(
    val workspace: WorkspaceId,
    val kind: RequestKind,
    val key: RequestKey,
    val deadline: Deadline?,
    val prefix: PrefixId?,
    val binding: BindingText?,
    val offset: Long,
    val resumeTarget: TargetId?,
    val adapter: AdapterName?,
) {
    companion object {
        private const val PREFIX = "vanilladale-"

        /** Reads the headers. The refusal of a missing, repeated or malformed header names it. */
        fun fromHeaders(headers: MultiMap): Either<Refusal, CallerRequestHead> = either {
            CallerRequestHead(
                workspace = required(headers, "workspace", WorkspaceId::parseOrNull),
                kind = required(headers, "kind", RequestKind::parseOrNull),
                key = required(headers, "request-key", RequestKey::parseOrNull),
                deadline = optional(headers, "deadline", ::deadlineOrNull),
                prefix = optional(headers, "prefix", PrefixId::parseOrNull),
                binding = optional(headers, "binding", BindingText::parseOrNull),
                offset = optional(headers, "offset", ::offsetOrNull) ?: 0,
                resumeTarget = optional(headers, "resume-target", TargetId::parseOrNull),
                adapter = optional(headers, "adapter", AdapterName::parseOrNull),
            )
        }

        private fun deadlineOrNull(text: String): Deadline? =
            text.toLongOrNull()?.takeIf { it > 0 }?.let { Deadline.fromEpochMilliseconds(it) }

        private fun offsetOrNull(text: String): Long? = text.toLongOrNull()?.takeIf { it >= 0 }

        private fun <T : Any> Raise<Refusal>.required(
            headers: MultiMap,
            name: String,
            parse: (String) -> T?,
        ): T = optional(headers, name, parse) ?: raise(malformed("header $PREFIX$name is missing"))

        private fun <T : Any> Raise<Refusal>.optional(
            headers: MultiMap,
            name: String,
            parse: (String) -> T?,
        ): T? {
            val values = headers.getAll(PREFIX + name)
            if (values.isEmpty()) return null
            if (values.size > 1) raise(malformed("header $PREFIX$name stands ${values.size} times"))
            return parse(values.single()) ?: raise(malformed("header $PREFIX$name is malformed"))
        }

        private fun malformed(detail: String) =
            Refusal(RefusalReason.MALFORMED_REQUEST, detail = detail)
    }
}
