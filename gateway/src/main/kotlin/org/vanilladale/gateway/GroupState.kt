package org.vanilladale.gateway

import kotlin.random.Random
import kotlinx.coroutines.Job
import org.vanilladale.core.gateway.ExpertProfile
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.core.placement.RankSpeed
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Step

/** What the leading entry knows of one formation of a group. */
internal class GroupState(
    val group: GroupId,
    val epoch: Long,
    val ranks: List<KnownTarget>,
    private val profile: ExpertProfile,
) {
    private var reporter: KnownTarget? = null
    private var reportsWithoutNewPass = 0
    private var lastStep: Step? = null

    /** Switch or check in progress. */
    var job: Job? = null

    /** True unless a switch or check is in progress. */
    val isIdle: Boolean get() = job?.isActive != true

    /** Maps in use by set; null while they are not known. */
    var maps: List<ExpertMap>? = null
        private set

    /** False until the reports have shown that no other process left the group half switched. */
    var isChecked = false

    /** True when the reports of the ranks have to be read first. */
    val needsCheck: Boolean get() = !isChecked || isStalled

    /** True when no pass was begun for some reports; an idle group shows the same. */
    val isStalled: Boolean get() = reportsWithoutNewPass >= STALLED_REPORTS

    /** Returns the rank whose reports are read; another one after a report that was missed. */
    fun reporter(random: Random): KnownTarget =
        reporter ?: ranks.random(random).also { reporter = it }

    /** Notes that the reporter did not answer. */
    fun recordMissingReport() {
        reporter = null
    }

    /** Notes the last pass of the group; one that stays the same may mean that it is held. */
    fun recordStep(step: Step) {
        reportsWithoutNewPass = if (step == lastStep) reportsWithoutNewPass + 1 else 0
        lastStep = step
    }

    /** Notes that the reports showed neither a hold nor an armed map. */
    fun markChecked() {
        isChecked = true
        resetStallCount()
    }

    /** Notes that the group stands still for a good reason, or was freed. */
    fun resetStallCount() {
        reportsWithoutNewPass = 0
    }

    /** Notes the maps that the group uses. */
    fun setMaps(maps: List<ExpertMap>) {
        this.maps = maps
    }

    /** Speeds of the ranks, as their last reports tell. */
    var speed: RankSpeed = RankSpeed.even(ranks.size)
        private set

    /** Ranks that are slower than the others. */
    val slowRanks: Int get() = ranks.indices.count { speed.speedOf(Rank(it)) < SLOW_SPEED }

    /** Takes the [paces] of the ranks, null for a missing one; true when others are slow now. */
    fun updateSpeed(paces: List<Double?>): Boolean {
        val before = speed
        val known = paces.mapIndexed { rank, pace -> pace ?: (1 / before.speedOf(Rank(rank))) }
        speed = RankSpeed.fromPaces(known)
        return ranks.indices.any { rank ->
            val change = speed.speedOf(Rank(rank)) / before.speedOf(Rank(rank))
            change < SLOW_SPEED || change > 1 / SLOW_SPEED
        }
    }

    /** Returns the maps by set that follow from what each rank holds, or null for nonsense. */
    fun mapsOf(loaded: List<LoadedExperts>): List<ExpertMap>? =
        List(profile.sets) { set -> mapOf(set, loaded) }.filterNotNull()
            .takeIf { it.size == profile.sets }

    private fun mapOf(set: Int, loaded: List<LoadedExperts>): ExpertMap? {
        val byExpert = List(profile.experts) { expert ->
            loaded.indices.filter {
                expert in loaded[it].bySet.getOrElse(set) { emptyList() }
            }.map(::Rank)
        }
        return ExpertMap.fromRanks(ranks.size, profile.places, byExpert).getOrNull()
    }

    private companion object {
        /** Reports without a pass after which a group may be held; an idle one shows the same. */
        const val STALLED_REPORTS = 3

        /** Speed over the usual one below which a rank slows down its group. */
        const val SLOW_SPEED = 0.7
    }
}
