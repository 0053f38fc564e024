package org.vanilladale.core.routing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.random.Random
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.AdapterName
import org.vanilladale.schema.PrefixId
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * One choice of a target.
 *
 * @property candidates the entry's subset of the pool
 * @property tried targets that this request must not go to again
 * @property adapter adapter that the target must have loaded; null for the model alone
 */
public data class ChoiceRequest(
    val candidates: List<TargetId>,
    val now: Timestamp,
    val prefix: PrefixId? = null,
    val tried: Set<TargetId> = emptySet(),
    val adapter: AdapterName? = null,
)

/** Picks one of the usable targets, of which there is at least one. */
public typealias TargetPolicy = (usable: List<TargetId>, request: ChoiceRequest) -> TargetId

/** Chooses the target of an attempt with [policy] among the usable candidates. */
public class TargetChoice(private val view: TargetLoadView, private val policy: TargetPolicy) {
    /**
     * Returns the target, or the refusal `no-target` when no candidate is left, `no-adapter` when
     * none of them has the adapter loaded.
     */
    public fun choose(request: ChoiceRequest): Either<Refusal, TargetId> {
        val adapter = request.adapter
        val withAdapter = request.candidates.filter { adapter == null || hasAdapter(it, adapter) }
        if (adapter != null && withAdapter.isEmpty()) {
            val detail = "no target in use has the adapter '$adapter' loaded"
            return Refusal(RefusalReason.NO_ADAPTER, detail = detail).left()
        }
        val untried = withAdapter.filter { it !in request.tried }
        val states = untried.groupBy { view.stateOf(it, request.now) }
        val usable = states[TargetState.READY] ?: states[TargetState.SLOW]
            ?: return Refusal(
                RefusalReason.NO_TARGET,
                detail = "${request.candidates.size} targets, ${request.tried.size} tried, " +
                    "${states[TargetState.UNAVAILABLE]?.size ?: 0} unavailable",
            ).left()
        return policy(usable, request).right()
    }

    /** An old report counts too: the agent refuses when the adapter has gone since. */
    private fun hasAdapter(target: TargetId, adapter: AdapterName): Boolean =
        view.lastReportOrNull(target)?.adapters.orEmpty().contains(adapter)
}

/** Returns the policy of two random choices by load. */
public fun twoRandomChoices(view: TargetLoadView, random: Random): TargetPolicy =
    { usable, request -> lessLoadedOfTwo(usable, view, random, request.now) }

/**
 * Returns the default policy: prefix affinity with bounded load, else two random choices.
 *
 * A preferred target is used only while its load is under [boundedLoadFactor] times the mean load
 * of the usable targets, one request of each counted in; else [fallback] picks.
 */
public fun affinityWithBoundedLoad(
    view: TargetLoadView,
    affinity: PrefixAffinity,
    random: Random,
    boundedLoadFactor: Double = DEFAULT_BOUNDED_LOAD_FACTOR,
    fallback: TargetPolicy = twoRandomChoices(view, random),
): TargetPolicy = { usable, request ->
    val prefix = request.prefix
    val preferred = prefix?.let { affinity.preferred(it, usable, request.now) }.orEmpty()
    val bound = if (preferred.isEmpty()) {
        0.0
    } else {
        boundedLoadFactor * (1.0 + usable.sumOf { view.loadOf(it, request.now) } / usable.size)
    }
    val target = preferred.firstOrNull { view.loadOf(it, request.now) + 1.0 <= bound }
        ?: fallback(usable, request)
    if (prefix != null) affinity.routed(prefix, target, request.now)
    target
}

/** Default of the bounded load; see docs/measurements-routing.md. */
public const val DEFAULT_BOUNDED_LOAD_FACTOR: Double = 1.5

private fun lessLoadedOfTwo(
    usable: List<TargetId>,
    view: TargetLoadView,
    random: Random,
    now: Timestamp,
): TargetId {
    if (usable.size == 1) return usable.single()
    val first = random.nextInt(usable.size)
    val second = (first + 1 + random.nextInt(usable.size - 1)) % usable.size
    val firstLoad = view.loadOf(usable[first], now)
    return if (view.loadOf(usable[second], now) < firstLoad) usable[second] else usable[first]
}
