package org.vanilladale.core.configuration

import org.vanilladale.schema.Digest

/**
 * The recorded events of a run, checked by [violations] after the run. All times are in
 * milliseconds.
 */
internal class ConfigurationHistory {
    data class Activation(
        val at: Long,
        val process: Int,
        val incarnation: Int,
        val revision: Long,
        val digest: Digest,
    )

    class Connection(val a: Int, val b: Int, val from: Long) {
        var until = Long.MAX_VALUE
    }

    val activations = mutableListOf<Activation>()
    val connections = mutableListOf<Connection>()
    val reads = mutableListOf<Long>()
    val starts = mutableListOf<Pair<Int, Long>>()
    var end = 0L

    fun readsInBusiestSecond(): Int = reads.groupingBy { it / 1_000 }.eachCount().values.max()

    fun violations(): Set<String> = buildSet {
        activations.groupBy { it.process to it.incarnation }.values.forEach { steps ->
            if (steps.zipWithNext().any { (a, b) -> b.revision < a.revision }) add("lower revision")
        }
        if (activations.groupBy {
                it.revision
            }.values.any { s -> s.distinctBy { it.digest }.size > 1 }
        ) {
            add("two contents")
        }
        if (isLate()) add("late")
        // Each process reads once after a start, and then at most once every 8 s.
        val processes = starts.distinctBy { it.first }.size
        if (reads.size > starts.size + processes * end / 8_000) add("too many reads")
        // Before the end of a run, all links are restored and all processes are restarted.
        val highest = activations.maxOfOrNull { it.revision }
        val last = connections.filter { it.until > end }.flatMap { listOf(it.a, it.b) }.toSet()
        if (highest != null && last.any { revisionAt(it, end) != highest }) add("lost")
    }

    /**
     * Returns true if a process still has a lower revision 16 s after another one activated a
     * higher revision, although they were connected during that time.
     */
    private fun isLate(): Boolean =
        (activations.map { it.at } + connections.map { it.from }).toSet().any { at ->
            val due = at + 16_000
            val lasting = connections.filter { it.from <= at && it.until > due }
            due <= end && groups(lasting).any { group ->
                val wanted = group.mapNotNull { revisionAt(it, at) }.maxOrNull()
                wanted != null && group.any { (revisionAt(it, due) ?: -1) < wanted }
            }
        }

    private fun revisionAt(process: Int, at: Long): Long? {
        val incarnation = starts.count { it.first == process && it.second <= at }
        return activations.lastOrNull { it.process == process && it.at <= at }
            ?.takeIf { it.incarnation == incarnation }?.revision
    }

    private fun groups(links: List<Connection>): List<Set<Int>> {
        val groups = mutableListOf<Set<Int>>()
        links.forEach { link ->
            val (joined, apart) = groups.partition { link.a in it || link.b in it }
            groups.clear()
            groups += apart
            groups += joined.flatten().toSet() + link.a + link.b
        }
        return groups
    }
}
