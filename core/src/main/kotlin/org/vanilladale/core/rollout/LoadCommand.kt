package org.vanilladale.core.rollout

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.ModelVersion
import org.vanilladale.schema.Revision

/** The kind of a [LoadCommand]. */
public enum class LoadCommandKind(public val code: String) {
    /** Replaces the model version. The engine then drops all adapters. */
    LOAD_MODEL("load-model"),
    LOAD_ADAPTER("load-adapter"),
    UNLOAD_ADAPTER("unload-adapter"),
}

/**
 * An idempotent command to an engine.
 *
 * @property name the name of the model or adapter
 * @property plan the ID of the plan that the command belongs to
 * @property fence the fencing number, which is the revision of the plan
 * @property validUntil the end of the lease, after which the command must not be sent
 */
public data class LoadCommand(
    val kind: LoadCommandKind,
    val name: String,
    val version: ModelVersion,
    val plan: Long,
    val fence: Revision,
    val validUntil: Deadline,
) {
    /** True if the target can't serve requests while the command runs. */
    val interruptsService: Boolean get() = kind == LoadCommandKind.LOAD_MODEL

    public companion object {
        /**
         * Returns the next command that an engine with [loaded] needs to reach [plan], or null if
         * it needs none.
         */
        public fun nextOrNull(
            plan: RolloutPlan,
            loaded: EngineModels,
            validUntil: Deadline,
        ): LoadCommand? {
            fun command(kind: LoadCommandKind, name: String, version: ModelVersion) =
                LoadCommand(kind, name, version, plan.id, plan.revision, validUntil)
            if (loaded.model != plan.model || loaded.version != plan.version) {
                return command(LoadCommandKind.LOAD_MODEL, plan.model.text, plan.version)
            }
            val missing = plan.adapters.firstOrNull { it !in loaded.adapters }
            if (missing != null) {
                return command(LoadCommandKind.LOAD_ADAPTER, missing.name.text, missing.version)
            }
            val names = plan.adapters.map { it.name }.toSet()
            return loaded.adapters.firstOrNull { it.name !in names }?.let {
                command(LoadCommandKind.UNLOAD_ADAPTER, it.name.text, it.version)
            }
        }
    }
}
