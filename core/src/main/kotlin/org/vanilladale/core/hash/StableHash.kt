package org.vanilladale.core.hash

/** 64-bit hashes that are the same in every process, unlike `hashCode` of another JVM. */
public object StableHash {
    private const val OFFSET_BASIS = -0x340d631b7bdddcdbL
    private const val PRIME = 0x100000001b3L
    private const val MIX_MULTIPLIER_1 = -0x40a7b892e31b1a47L
    private const val MIX_MULTIPLIER_2 = -0x6b2fb644ecceee15L

    /** Returns the hash of [text]. */
    public fun ofText(text: String): Long {
        var hash = OFFSET_BASIS
        for (character in text) hash = (hash xor character.code.toLong()) * PRIME
        return mix(hash)
    }

    /** Returns the hash of a pair of hashes. */
    public fun ofPair(first: Long, second: Long): Long = mix(first * PRIME + second)

    @Suppress("MagicNumber") // Shifts of the usual 64-bit finaliser.
    private fun mix(value: Long): Long {
        var mixed = value
        mixed = (mixed xor (mixed ushr 30)) * MIX_MULTIPLIER_1
        mixed = (mixed xor (mixed ushr 27)) * MIX_MULTIPLIER_2
        return mixed xor (mixed ushr 31)
    }
}
