package org.vanilladale.core.hash

/** 64-bit hashes that are the same in every process, which `hashCode` does not guarantee. */
public object StableHash {
    private const val OFFSET_BASIS = -0x340d631b7bdddcdbL
    private const val PRIME = 0x100000001b3L
    private const val MIX_MULTIPLIER_1 = -0x40a7b892e31b1a47L
    private const val MIX_MULTIPLIER_2 = -0x6b2fb644ecceee15L

    /** Returns the FNV-1a hash of the characters of [text], mixed by the finalizer. */
    public fun ofText(text: String): Long {
        var hash = OFFSET_BASIS
        for (character in text) hash = (hash xor character.code.toLong()) * PRIME
        return mix(hash)
    }

    /** Combines two hashes; the result depends on their order. */
    public fun ofPair(first: Long, second: Long): Long = mix(first * PRIME + second)

    @Suppress("MagicNumber") // Shifts of the SplitMix64 finalizer.
    private fun mix(value: Long): Long {
        var mixed = value
        mixed = (mixed xor (mixed ushr 30)) * MIX_MULTIPLIER_1
        mixed = (mixed xor (mixed ushr 27)) * MIX_MULTIPLIER_2
        return mixed xor (mixed ushr 31)
    }
}
