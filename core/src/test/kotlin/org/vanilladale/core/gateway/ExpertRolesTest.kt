package org.vanilladale.core.gateway

import org.junit.jupiter.api.Test
import org.vanilladale.schema.EntryPhase
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against several leaders at the same time when all entries start at once. */
class ExpertRolesTest {
    private val own = VmId.parse("vm-2")
    private val view = FleetView(own, silenceMilliseconds = 60_000)

    private fun role(milliseconds: Long) = ExpertRoles.roleOf(own, view.live, at(milliseconds))

    @Test
    fun `the entry with the first name leads and the next one is its deputy`() {
        expectThat(role(0)).isEqualTo(ExpertRole.LEADER)
        view.receive(heartbeat("vm-3", 1), at(0))
        expectThat(role(0)).isEqualTo(ExpertRole.LEADER)
        view.receive(heartbeat("vm-1", 1), at(0))
        expectThat(role(0)).isEqualTo(ExpertRole.DEPUTY)
        view.receive(heartbeat("vm-0", 1), at(0))
        expectThat(role(0)).isEqualTo(ExpertRole.NONE)
    }

    @Test
    fun `an entry does not lead while one with an earlier name is about to serve`() {
        view.receive(heartbeat("vm-1", 1, phase = EntryPhase.STARTING), at(0))
        expectThat(role(100)).isEqualTo(ExpertRole.DEPUTY)
        view.receive(heartbeat("vm-1", 2, phase = EntryPhase.SERVING), at(900))
        expectThat(role(1_000)).isEqualTo(ExpertRole.DEPUTY)
    }

    @Test
    fun `an entry leads once one with an earlier name has exceeded its start timeout`() {
        val last = FleetView.START_TIMEOUT_MILLISECONDS
        view.receive(heartbeat("vm-1", 1, phase = EntryPhase.STARTING), at(0))
        view.receive(heartbeat("vm-1", 2, phase = EntryPhase.STARTING), at(last - 1))
        expectThat(role(last - 1)).isEqualTo(ExpertRole.DEPUTY)
        expectThat(role(last)).isEqualTo(ExpertRole.LEADER)
    }

    @Test
    fun `a leaving entry does not lead`() {
        view.receive(heartbeat("vm-1", 1, phase = EntryPhase.LEAVING), at(0))
        expectThat(role(0)).isEqualTo(ExpertRole.LEADER)
    }
}
