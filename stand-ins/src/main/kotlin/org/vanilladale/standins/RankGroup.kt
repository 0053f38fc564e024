package org.vanilladale.standins

import io.vertx.core.Vertx
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler

/**
 * Stand-in for the engines of a rank group that run in lock-step.
 *
 * A step runs once every rank has entered it. Each layer takes as long as its slowest rank: its
 * share of the expert load under the active map times its slowness. The copies of an expert share
 * its tokens by weight. Each rank has a port with the API of [Engine] and in addition:
 * - `GET /v1/map` reads back `{digest, step, stepMicroseconds, holding}` and, where they apply,
 *   `held`, `activated` and `term`;
 * - `GET /v1/map/content` returns the active map, `{digest, placement, copies, weights}`, with
 *   `layers` and the `slots` for copies of one layer;
 * - `POST /v1/map/preload` takes `{term, digest, placement, copies, weights}` and answers when all
 *   is loaded;
 * - `POST /v1/map/hold`, `activate` and `release` take `{term, map: {term, digest, switchStep}}`,
 *   `POST /v1/map/fence` takes `{term}`; a stale term is answered with 409 if fencing is kept;
 * - `GET /v1/popularity` returns `{tokens}` of each expert, counted in the interval before last;
 * - `PUT /control` with `{stallMilliseconds, slowness}` stalls or slows the rank;
 * - `GET /control/steps` returns the digests that the ranks used in each step.
 */
public class RankGroup internal constructor(
    private val vertx: Vertx,
    private val settings: Settings,
    private val popularity: GroupLoad,
) {
    /**
     * Size and behaviour of the group.
     *
     * @property experts experts of a layer
     * @property slotsPerRank copies of one layer that fit on a rank
     * @property stepMilliseconds time of a step with even load
     * @property tokens tokens in an answer
     * @property keepsFencing whether stale terms are rejected
     * @property loadMilliseconds time to load one expert from the weight store
     */
    public class Settings(
        public val ranks: Int,
        public val experts: Int,
        public val slotsPerRank: Int,
        public val stepMilliseconds: Long,
        public val tokens: Int,
        public val keepsFencing: Boolean,
        public val loadMilliseconds: Long,
        public val layers: Int = 1,
    )

    private val ranks = List(settings.ranks) {
        val map = EngineMap.evenly(settings.layers, settings.experts, settings.ranks)
        RankEngine(settings.keepsFencing, INITIAL, map)
    }
    private val engines = List(settings.ranks) {
        Engine(
            vertx,
            Engine.Settings(
                BATCH,
                settings.stepMilliseconds,
                settings.tokens,
                PREFILL_STEPS,
                CACHED_PREFIXES,
                LOAD_LAG,
            ) {},
        )
    }
    private val record = StepRecord()
    private var runningStep = false
    private var heldSince: Long? = null
    private var counted = popularity.shares()
    private var reported = counted

    /** Serves rank n on the n-th of [ports] of the loopback address. */
    public fun start(ports: List<Int>) {
        ports.forEachIndexed { rank, port ->
            val router = Router.router(vertx)
            router.put("/control").handler(BodyHandler.create(false)).handler { control(it, rank) }
            router.get("/control/steps").handler { it.json(synchronized(this) { record.toJson() }) }
            router.get("/v1/map").handler { it.json(synchronized(this) { readBack(rank) }) }
            router.get("/v1/map/content").handler { it.json(synchronized(this) { content(rank) }) }
            router.get("/v1/popularity").handler { context ->
                val tokens = synchronized(this) { reported.map { (it * TOKENS).toLong() } }
                context.json(JsonObject().put("tokens", JsonArray(tokens)))
            }
            router.post("/v1/map/:order").handler(BodyHandler.create(false)).handler {
                order(it, rank)
            }
            engines[rank].addRoutes(router)
            serve(vertx, router, port)
        }
        vertx.setPeriodic(1) { enterSteps() }
        vertx.setPeriodic(REPORT_MILLISECONDS) {
            synchronized(this) {
                reported = counted
                counted = popularity.shares()
            }
        }
    }

    private fun control(context: RoutingContext, rank: Int) {
        val body = context.body().asJsonObject()
        synchronized(this) {
            body.getLong("stallMilliseconds")?.let {
                ranks[rank].stalledUntil = System.currentTimeMillis() + it
            }
            body.getDouble("slowness")?.let { ranks[rank].slowness = it }
        }
        context.response().setStatusCode(204).end()
    }

    private fun order(context: RoutingContext, rank: Int) {
        val body = context.body().asJsonObject()
        val engine = ranks[rank]
        val name = context.pathParam("order")
        val loadMilliseconds = synchronized(this) {
            if (!engine.accept(body.getLong("term"))) {
                context.response().setStatusCode(409).end()
                return
            }
            if (name == "preload") preload(body, rank) else change(name, body, engine)
        }
        if (loadMilliseconds > 0) {
            vertx.setTimer(loadMilliseconds) { context.response().setStatusCode(204).end() }
        } else {
            context.response().setStatusCode(204).end()
        }
    }

    private fun change(name: String, body: JsonObject, engine: RankEngine): Long {
        val map = body.getJsonObject("map")?.let {
            HeldMap(it.getLong("term"), it.getString("digest"), it.getLong("switchStep"))
        }
        when {
            name == "hold" && map != null -> engine.hold(map, activate = false)
            name == "activate" && map != null -> engine.hold(map, activate = true)
            name == "release" && map != null -> engine.release(map)
        }
        return 0
    }

    private fun preload(body: JsonObject, rank: Int): Long {
        val map = EngineMap.fromJson(body)
        val moved = map.copiesMissingIn(ranks[rank].activeMap, rank)
        ranks[rank].preload(body.getString("digest"), map)
        return moved * settings.loadMilliseconds
    }

    private fun content(rank: Int): JsonObject = ranks[rank].activeMap.toJson()
        .put("digest", ranks[rank].activeDigest)
        .put("layers", settings.layers)
        .put("slots", settings.slotsPerRank)

    private fun readBack(rank: Int): JsonObject {
        val engine = ranks[rank]
        val json = JsonObject()
            .put("digest", engine.activeDigest)
            .put("step", engine.nextStep)
            .put("stepMicroseconds", (layerMilliseconds(rank).sum() * 1000).toLong())
            .put("holding", engine.isHolding)
            .put("activated", engine.activated)
        engine.held?.let {
            val map = JsonObject().put("term", it.term).put("digest", it.digest)
            json.put("held", map.put("switchStep", it.switchStep))
        }
        if (settings.keepsFencing) json.put("term", engine.term)
        return json
    }

    /** Returns the time that [rank] computes in each layer of a step. */
    private fun layerMilliseconds(rank: Int): List<Double> {
        val even = settings.stepMilliseconds.toDouble() / settings.layers
        return popularity.loadsOf(rank, ranks[rank].activeMap)
            .map { even * it * settings.ranks * ranks[rank].slowness }
    }

    private fun enterSteps() = synchronized(this) {
        if (runningStep) return@synchronized
        val now = System.currentTimeMillis()
        ranks.forEach { it.tryEnter(now) }
        if (ranks.any { it.isHolding } && heldSince == null) heldSince = now
        if (!ranks.all { it.entered }) return@synchronized
        heldSince?.let {
            record.heldSteps++
            record.heldMilliseconds += now - it
        }
        heldSince = null
        // The fingerprint shows ranks that know different maps under one digest.
        record.add(ranks[0].step, ranks.map { "${it.activeDigest}/${it.activeMap.fingerprint}" })
        runningStep = true
        val times = ranks.indices.map { layerMilliseconds(it) }
        val milliseconds = (0 until settings.layers).sumOf { layer -> times.maxOf { it[layer] } }
        vertx.setTimer(milliseconds.toLong().coerceAtLeast(1)) { completeStep() }
    }

    private fun completeStep() = synchronized(this) {
        engines.forEach { it.step() }
        ranks.forEach { it.completeStep() }
        runningStep = false
    }

    private companion object {
        const val INITIAL = "initial"
        const val BATCH = 8
        const val PREFILL_STEPS = 10
        const val CACHED_PREFIXES = 20
        const val LOAD_LAG = 500L
        const val REPORT_MILLISECONDS = 200L
        const val TOKENS = 100_000
    }
}
