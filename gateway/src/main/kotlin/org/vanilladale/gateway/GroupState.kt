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

/** State of one formation of a group, as tracked by the leader or the deputy. */
internal class GroupState(
    val group: GroupId,
    val epoch: Long,
    val ranks: List<KnownTarget>,
    private val profile: ExpertProfile,
) {
    private var reporter: KnownTarget? = null
    private var reportsWithoutNewPass = 0
    private var lastStep: Step? = null

    /** Switch or check that is in progress, if any. */
    var job: Job? = null

    /** True unless a switch or check is in progress. */
    val isIdle: Boolean get() = job?.isActive != true

    /** Maps in use, one for each set of layers, or null while they are unknown. */
    var maps: List<ExpertMap>? = null
        private set

    /** False until reports have shown that no process left a switch of this group unfinished. */
    var isChecked = false

    /** True when the reports of all ranks have to be read before the group can be switched. */
    val needsCheck: Boolean get() = !isChecked || isStalled

    /** True when several reports in a row showed no new pass. This also holds for an idle group. */
    val isStalled: Boolean get() = reportsWithoutNewPass >= STALLED_REPORTS

    /** Returns the rank whose reports are read. The rank changes after a missing report. */
    fun reporter(random: Random): KnownTarget =
        reporter ?: ranks.random(random).also { reporter = it }

    /** Records that the reporting rank did not answer, so that another one is chosen. */
    fun recordMissingReport() {
        reporter = null
    }

    /** Records the latest step of the group. If it does not change, the group may be held. */
    fun recordStep(step: Step) {
        reportsWithoutNewPass = if (step == lastStep) reportsWithoutNewPass + 1 else 0
        lastStep = step
    }

    /** Records that the reports showed neither a hold nor an armed map. */
    fun markChecked() {
        isChecked = true
        resetStallCount()
    }

    /** Restarts the count of reports without a new pass, after a check or recovery of the group. */
    fun resetStallCount() {
        reportsWithoutNewPass = 0
    }

    /** Records the maps that the group uses. */
    fun setMaps(maps: List<ExpertMap>) {
        this.maps = maps
    }

    /** Highest version of a map that a rank is known to have received. */
    var highestVersion = 0L
        private set

    /** Records that ranks have received [version]. */
    fun recordVersion(version: Long) {
        highestVersion = maxOf(highestVersion, version)
    }

    /** Speeds of the ranks according to their latest reports. */
    var speed: RankSpeed = RankSpeed.even(ranks.size)
        private set

    /** Number of ranks that are slower than the others. */
    val slowRanks: Int get() = ranks.indices.count { speed.speedOf(Rank(it)) < SLOW_SPEED }

    /**
     * Updates the speeds from the [paces] of the ranks; null means that a rank did not report.
     * Returns true when the speed of any rank changed significantly.
     */
    fun updateSpeed(paces: List<Double?>): Boolean {
        val before = speed
        val known = paces.mapIndexed { rank, pace -> pace ?: (1 / before.speedOf(Rank(rank))) }
        speed = RankSpeed.fromSlowdowns(known)
        return ranks.indices.any { rank ->
            val change = speed.speedOf(Rank(rank)) / before.speedOf(Rank(rank))
            change < SLOW_SPEED || change > 1 / SLOW_SPEED
        }
    }

    /**
     * Returns the maps by set of layers derived from the experts that each rank has loaded, or null
     * when they form no valid map.
     */
    fun mapsOf(loaded: List<LoadedExperts>): List<ExpertMap>? =
        List(profile.layerSets) { set -> mapOf(set, loaded) }.filterNotNull()
            .takeIf { it.size == profile.layerSets }

    private fun mapOf(set: Int, loaded: List<LoadedExperts>): ExpertMap? {
        val byExpert = List(profile.expertsPerSet) { expert ->
            loaded.indices.filter {
                expert in loaded[it].bySet.getOrElse(set) { emptyList() }
            }.map(::Rank)
        }
        return ExpertMap.fromRanks(ranks.size, profile.maxExpertsPerRank, byExpert).getOrNull()
    }

    private companion object {
        /**
         * Number of reports without a new pass after which a group may be held. An idle group shows
         * the same.
         */
        const val STALLED_REPORTS = 3

        /** Speed relative to the usual one below which a rank slows down its group. */
        const val SLOW_SPEED = 0.7
    }
}
