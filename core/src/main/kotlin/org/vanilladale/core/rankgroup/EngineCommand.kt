package org.vanilladale.core.rankgroup

import org.vanilladale.schema.ArmedMap
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Step
import org.vanilladale.schema.Term

/**
 * Order of an agent to the engine of its rank. Orders of one agent incarnation run in the order in
 * which they were sent; one that an earlier incarnation left behind may arrive late.
 */
public sealed interface EngineCommand {
    /** Term under which the order is given. */
    public val term: Term

    /** Raises the engine's term, if it keeps one; its answer follows all earlier orders. */
    public data class Fence(override val term: Term) : EngineCommand

    /**
     * Loads the expert weights of [map], which is named [digest], without using them. It can take
     * long and does not keep later orders waiting.
     */
    public data class Preload(override val term: Term, val digest: Digest, val map: GroupMap) :
        EngineCommand

    /** Makes the engine stop before `map.switchStep` until [Activate] or [Release]. */
    public data class Hold(override val term: Term, val map: ArmedMap) : EngineCommand

    /** Lets the engine use the map from `map.switchStep` on. */
    public data class Activate(override val term: Term, val map: ArmedMap) : EngineCommand

    /**
     * Drops [map] if the engine holds for it; the engine goes on with its active map. The map is
     * named so that a late copy does not drop a map that was armed afterwards.
     */
    public data class Release(override val term: Term, val map: ArmedMap) : EngineCommand
}

/**
 * State that an engine reports.
 *
 * @property step next step to enter
 * @property held map for which the engine is told to hold; its term is 0 when the engine ignores
 *   fencing numbers
 * @property activated true when the engine switches to [held] without holding
 * @property term highest term that the engine has seen; null when it ignores fencing numbers
 */
public data class EngineReadBack(
    val activeDigest: Digest,
    val step: Step,
    val held: ArmedMap? = null,
    val activated: Boolean = false,
    val term: Term? = null,
)
