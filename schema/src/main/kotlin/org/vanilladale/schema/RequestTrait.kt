package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/**
 * Property that several requests share and that may crash targets: one part of a prompt, or the
 * whole content.
 */
@Serializable
@JvmInline
public value class RequestTrait private constructor(public val text: String) {
    init {
        requireIdText("RequestTrait", text, MAXIMUM_LENGTH)
    }

    /** Whether the trait is a part of prompts. */
    public val isPart: Boolean get() = text.startsWith(PART_PREFIX)

    override fun toString(): String = text

    public companion object {
        private const val PART_PREFIX = "part:"

        /** Longest accepted text in characters. */
        public const val MAXIMUM_LENGTH: Int = 136

        /** Returns the trait of all requests whose prompt holds [part]. */
        public fun ofPart(part: PrefixId): RequestTrait = RequestTrait(PART_PREFIX + part.text)

        /** Returns the trait of all requests with the content that [fingerprint] stands for. */
        public fun ofContent(fingerprint: Fingerprint): RequestTrait =
            RequestTrait("content:${fingerprint.text}")
    }
}
