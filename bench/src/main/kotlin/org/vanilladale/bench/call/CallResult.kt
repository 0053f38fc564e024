package org.vanilladale.bench.call

import kotlinx.serialization.Serializable
import org.vanilladale.schema.RefusalAnswer

/**
 * Result of a call.
 *
 * @property outcome code of a [CallOutcome]
 * @property entry address of the entry that was asked last
 * @property target target that answered, as far as the entry named it
 * @property attempts requests sent, each with the same key
 * @property found what went wrong, when it wasn't a refusal
 */
@Serializable
internal data class CallResult(
    val outcome: String,
    val kind: String,
    val key: String,
    val entry: String? = null,
    val target: String? = null,
    val attempts: Int,
    val milliseconds: Long,
    val text: String,
    val refusal: RefusalAnswer? = null,
    val found: String? = null,
)
