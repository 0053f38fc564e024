package org.vanilladale.agent.rollout

import org.vanilladale.core.configuration.JoinedTables
import org.vanilladale.core.rollout.RolloutState
import org.vanilladale.schema.RolloutReport
import org.vanilladale.schema.Timestamp

/**
 * Functions of the agent that the rollout calls.
 *
 * @property tables returns the active tables, or null before the first ones have been received
 * @property inFlight returns the number of requests that run or wait at the target
 * @property isConnected returns true while an entry is connected
 * @property publish sends a report to all connected entries
 * @property onChange called with each new state
 */
internal class RolloutPorts(
    val tables: () -> JoinedTables?,
    val inFlight: () -> Int,
    val isConnected: () -> Boolean,
    val publish: (RolloutReport) -> Unit,
    val onChange: (RolloutState) -> Unit,
    val clock: () -> Timestamp,
)
