package org.vanilladale.core.rankgroup

import org.vanilladale.schema.ArmedMap
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Step
import org.vanilladale.schema.Term

/**
 * Command that an agent sends to the engine of its rank.
 *
 * The engine executes the commands of one agent incarnation in the order in which they were sent. A
 * command of an earlier incarnation may still arrive later.
 */
public sealed interface EngineCommand {
    /** Term under which the command is sent. */
    public val term: Term

    /**
     * Raises the engine's term, if it keeps one. The engine answers after it has executed all
     * earlier commands of the same agent incarnation.
     */
    public data class Fence(override val term: Term) : EngineCommand

    /**
     * Loads the expert weights of [map], whose digest is [digest], without using them. Loading can
     * take a long time and does not delay later commands.
     */
    public data class Preload(override val term: Term, val digest: Digest, val map: GroupMap) :
        EngineCommand

    /** Makes the engine stop before `map.switchStep` until it gets [Activate] or [Release]. */
    public data class Hold(override val term: Term, val map: ArmedMap) : EngineCommand

    /** Allows the engine to use the map from `map.switchStep` on. */
    public data class Activate(override val term: Term, val map: ArmedMap) : EngineCommand

    /**
     * Drops [map] if it is the engine's held map. The engine continues with its active map. The
     * command names the map so that a late command does not drop a map that was armed after the
     * command was sent.
     */
    public data class Release(override val term: Term, val map: ArmedMap) : EngineCommand
}

/**
 * State read back from an engine.
 *
 * @property step next step that the engine enters
 * @property held armed map, before whose switch step the engine holds unless the map is activated;
 * its term is 0 if the engine ignores fencing numbers
 * @property activated whether the engine may switch to [held] without holding
 * @property term highest term that the engine has received; null if it ignores fencing numbers
 */
public data class EngineReadBack(
    val activeDigest: Digest,
    val step: Step,
    val held: ArmedMap? = null,
    val activated: Boolean = false,
    val term: Term? = null,
)
