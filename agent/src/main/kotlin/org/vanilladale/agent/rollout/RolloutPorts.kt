package org.vanilladale.agent.rollout

import org.vanilladale.core.configuration.JoinedTables
import org.vanilladale.core.rollout.RolloutState
import org.vanilladale.schema.RolloutReport
import org.vanilladale.schema.Timestamp

/**
 * What the rollout needs of the rest of the agent.
 *
 * @property tables tables in force; null before the first ones
 * @property inFlight requests that run or wait at the target
 * @property isConnected true while an entry is connected
 * @property publish sends a report to all connected entries
 * @property onChange takes each new state
 */
internal class RolloutPorts(
    val tables: () -> JoinedTables?,
    val inFlight: () -> Int,
    val isConnected: () -> Boolean,
    val publish: (RolloutReport) -> Unit,
    val onChange: (RolloutState) -> Unit,
    val clock: () -> Timestamp,
)
