package org.vanilladale.bench.routing

import kotlin.random.Random
import org.vanilladale.core.routing.DEFAULT_BOUNDED_LOAD_FACTOR
import org.vanilladale.core.routing.PrefixAffinity
import org.vanilladale.core.routing.TargetLoadView
import org.vanilladale.core.routing.TargetPolicy
import org.vanilladale.core.routing.TargetSubset
import org.vanilladale.core.routing.affinityWithBoundedLoad
import org.vanilladale.core.routing.twoRandomChoices

/** What a target policy of one entry is made from. */
internal class PolicyParts(
    val view: TargetLoadView,
    val affinity: PrefixAffinity,
    val random: Random,
    val first: Int,
)

internal enum class Retries { NONE, BUDGET, UNLIMITED }

/** One arm of the comparison; all other things are equal. */
internal data class Variant(
    val name: String,
    val policy: (
        PolicyParts,
    ) -> TargetPolicy = { boundedAffinity(it, DEFAULT_BOUNDED_LOAD_FACTOR) },
    val admission: Boolean = true,
    val fair: Boolean = true,
    val retries: Retries = Retries.BUDGET,
    val cacheEvents: Boolean = false,
    val reportLifetimeMilliseconds: Long = TargetLoadView.DEFAULT_REPORT_LIFETIME_MILLISECONDS,
    val affinityMilliseconds: Long = PrefixAffinity.DEFAULT_KEEP_MILLISECONDS,
    val subsetSize: Int = TargetSubset.DEFAULT_SIZE,
    val slowMarks: Boolean = true,
    val capacityFactor: Double = DEFAULT_CAPACITY_FACTOR,
    val heartbeatSeconds: Int = 1,
) {
    companion object {
        private const val DEFAULT_CAPACITY_FACTOR = 2.0
        private const val NO_BOUND = 1e9

        fun boundedAffinity(parts: PolicyParts, factor: Double): TargetPolicy =
            affinityWithBoundedLoad(parts.view, parts.affinity, parts.random, factor)

        private fun withFallback(parts: PolicyParts, fallback: Variant): TargetPolicy =
            affinityWithBoundedLoad(
                parts.view,
                parts.affinity,
                parts.random,
                fallback = fallback.policy(parts),
            )

        private fun leastLoad(parts: PolicyParts): TargetPolicy = { usable, request ->
            usable.minBy { parts.view.loadOf(it, request.now) }
        }

        val random = Variant("random", { parts -> { usable, _ -> usable.random(parts.random) } })
        val roundRobin = Variant("round-robin", { parts ->
            var next = parts.first
            { usable, _ -> usable[next++ % usable.size] }
        })
        val leastOutstanding = Variant("least-outstanding", { parts ->
            { usable, _ -> usable.shuffled(parts.random).minBy { parts.view.inFlight(it) } }
        })
        val twoChoices = Variant("two-choices", { twoRandomChoices(it.view, it.random) })
        val default = Variant("default")

        fun factor(factor: Double) = Variant("affinity-$factor", { boundedAffinity(it, factor) })

        val unbounded = Variant("affinity-unbounded", { boundedAffinity(it, NO_BOUND) })

        val policies: List<Variant> = listOf(
            random, roundRobin, leastOutstanding, twoChoices,
            factor(1.1), factor(1.25), factor(1.5), factor(2.0), factor(3.0), unbounded,
        )
        val protection: List<Variant> = listOf(
            Variant("unprotected", admission = false, fair = false, retries = Retries.UNLIMITED),
            Variant("no-admission", admission = false),
            Variant("no-fairness", fair = false),
            Variant("no-retries", retries = Retries.NONE),
            Variant("unlimited-retries", retries = Retries.UNLIMITED),
            default,
        )
        val ages: List<Variant> = listOf(1L, 500, 1_000, 2_000, 4_000, 8_000, 30_000).map {
            Variant("report-$it", reportLifetimeMilliseconds = it)
        } + listOf(1L, 5_000, 10_000, 30_000, 60_000, 300_000).map {
            Variant("affinity-age-$it", affinityMilliseconds = it)
        }
        val events: List<Variant> = listOf(1.25, 1.5, 2.0).flatMap { factor ->
            val policy = { parts: PolicyParts -> boundedAffinity(parts, factor) }
            listOf(
                Variant("affinity-$factor", policy),
                Variant("affinity-$factor-events", policy, cacheEvents = true),
            )
        }
        val subsets: List<Variant> = listOf(4, 8, 16, 31).map {
            Variant("subset-$it", subsetSize = it)
        }
        val slow: List<Variant> = listOf(
            Variant("no-slow-marks", slowMarks = false),
            Variant("slow-marks"),
        )
        val fallbacks: List<Variant> = listOf(random, roundRobin, leastOutstanding, twoChoices)
            .map { Variant("fallback-${it.name}", { parts -> withFallback(parts, it) }) } +
            Variant("fallback-least-load", { parts ->
                withFallback(parts, Variant("least-load", ::leastLoad))
            })

        /** Interval of 1 s, of an agent with 186 and of an entry with 432 connections. */
        val heartbeats: List<Variant> = listOf(
            Variant("heartbeat-1"),
            Variant("heartbeat-9", heartbeatSeconds = 9),
            Variant("heartbeat-40", heartbeatSeconds = 40),
            Variant(
                "heartbeat-40-report-40",
                heartbeatSeconds = 40,
                reportLifetimeMilliseconds = 40_000,
            ),
        )
        val capacities: List<Variant> = listOf(1.0, 1.25, 1.5, 2.0, 3.0, 6.0).map {
            Variant("capacity-$it", capacityFactor = it)
        }
    }
}
