package org.vanilladale.core.routing

/** 64-bit hashes that give the same order on all entries, unlike `hashCode` of another JVM. */
internal object RendezvousHash {
    private const val OFFSET = -0x340d631b7bdddcdbL
    private const val PRIME = 0x100000001b3L
    private const val MIX_1 = -0x40a7b892e31b1a47L
    private const val MIX_2 = -0x6b2fb644ecceee15L

    fun ofText(text: String): Long {
        var hash = OFFSET
        for (character in text) hash = (hash xor character.code.toLong()) * PRIME
        return mix(hash)
    }

    fun score(first: Long, second: Long): Long = mix(first * PRIME + second)

    @Suppress("MagicNumber") // Shifts of the usual 64-bit finaliser.
    private fun mix(value: Long): Long {
        var mixed = value
        mixed = (mixed xor (mixed ushr 30)) * MIX_1
        mixed = (mixed xor (mixed ushr 27)) * MIX_2
        return mixed xor (mixed ushr 31)
    }
}
