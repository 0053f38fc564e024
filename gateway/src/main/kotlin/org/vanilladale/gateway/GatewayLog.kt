package org.vanilladale.gateway

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.vanilladale.runtime.EventLog
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/** Writes the events of one gateway as JSON, one object per line. */
internal class GatewayLog(
    private val vm: VmId,
    private val log: EventLog,
    private val clock: () -> Timestamp,
) {
    @Serializable
    private class Line(val time: Long, val vm: String, val event: GatewayEvent)

    private val json = Json {
        classDiscriminator = "kind"
        explicitNulls = false
        encodeDefaults = false
    }

    /** Queues [event] with the time and the id of this VM. Never blocks. */
    fun log(event: GatewayEvent) {
        val line = Line(clock().epochMilliseconds, vm.text, event)
        log.log(json.encodeToString(Line.serializer(), line))
    }
}
