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
 * Input of one choice of a target.
 *
 * @property candidates the entry's subset of the pool
 * @property tried targets that this request must not be sent to again
 * @property adapter adapter that the target must have loaded, or null if none is needed
 */
public data class ChoiceRequest(
    val candidates: List<TargetId>,
    val now: Timestamp,
    val prefix: PrefixId? = null,
    val tried: Set<TargetId> = emptySet(),
    val adapter: AdapterName? = null,
)

/** Picks one of the usable targets. The list is never empty. */
public typealias TargetPolicy = (usable: List<TargetId>, request: ChoiceRequest) -> TargetId

/** Chooses the target of an attempt among the usable candidates by [policy]. */
public class TargetChoice(private val view: TargetLoadView, private val policy: TargetPolicy) {
    /**
     * Returns the target, or a refusal: `no-target` if no candidate is left, `no-adapter` if no
     * candidate has the adapter loaded.
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

    /** Uses a report of any age, because the agent refuses the request if the adapter is gone. */
    private fun hasAdapter(target: TargetId, adapter: AdapterName): Boolean =
        view.lastReportOrNull(target)?.adapters.orEmpty().contains(adapter)
}

/** Returns the policy that picks the less loaded of two random targets. */
public fun twoRandomChoices(view: TargetLoadView, random: Random): TargetPolicy =
    { usable, request -> lessLoadedOfTwo(usable, view, random, request.now) }

/**
 * Returns the default policy: prefix affinity with bounded load, otherwise two random choices.
 *
 * A preferred target is used only if its load is at most [boundedLoadFactor] times the mean load of
 * the usable targets, with one request added to both. Otherwise [fallback] picks.
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

/** Default factor of the bounded load; see docs/measurements-routing.md. */
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
