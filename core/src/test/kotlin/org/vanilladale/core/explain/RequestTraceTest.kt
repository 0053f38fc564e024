package org.vanilladale.core.explain

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Guards against a trace of a failed request that omits the logged cause of the failure. */
class RequestTraceTest {
    private fun line(time: Long, vm: String, event: String) =
        """{"time":$time,"vm":"$vm","event":{$event}}"""

    private fun traceOrNull(request: String, vararg texts: String) =
        RequestTrace.fromLogOrNull(request, texts.mapNotNull(LogLine::parseOrNull))

    private fun kinds(lines: List<LogLine>?) = lines?.map { it.kind }

    @Test
    fun `the trace of a refused request contains the map switch that its group waited for`() {
        val trace = traceOrNull(
            "r1",
            line(9_000, "edge-1", """"kind":"refused","request":"r1","reason":"no-place""""),
            line(8_500, "edge-9", """"kind":"map-switch","group":"g0","result":"unsettled""""),
            line(5_999, "edge-9", """"kind":"map-switch","group":"g0","result":"switched""""),
            line(8_600, "edge-9", """"kind":"store","state":"lost""""),
            line(8_700, "edge-1", """"kind":"refused","request":"r2","reason":"no-place""""),
        )
        expectThat(kinds(trace?.lines)).isEqualTo(listOf("refused"))
        expectThat(trace?.relatedLines?.single()?.textOrNull("result")).isEqualTo("unsettled")
    }

    @Test
    fun `the trace of a request with unknown outcome contains the loss of its target`() {
        val trace = traceOrNull(
            "r1",
            line(1_400, "edge-1", """"kind":"refused","request":"r1","run":"unknown""""),
            line(1_000, "edge-1", """"kind":"placed","request":"r1","target":"a""""),
            line(1_399, "edge-1", """"kind":"attempt-failed","request":"r1","target":"a""""),
            line(1_200, "edge-2", """"kind":"attempt-failed","request":"r2","target":"a""""),
            line(1_200, "edge-2", """"kind":"attempt-failed","request":"r3","target":"b""""),
            line(1_300, "edge-1", """"kind":"target-changed","target":"a","change":"gone""""),
        )
        expectThat(kinds(trace?.lines)).isEqualTo(listOf("placed", "attempt-failed", "refused"))
        expectThat(kinds(trace?.relatedLines))
            .isEqualTo(listOf("attempt-failed", "target-changed"))
    }

    @Test
    fun `the trace of a cut stream contains the stop of its process despite line prefixes`() {
        val trace = traceOrNull(
            "r1",
            "   1.0001 edge-1 " + line(2_000, "edge-1", """"kind":"cut","request":"r1""""),
            "   1.0000 edge-1 " + line(1_900, "edge-1", """"kind":"stopping","stage":"began""""),
            "   1.0000 edge-2 " + line(1_900, "edge-2", """"kind":"stopping","stage":"began""""),
        )
        expectThat(trace).isNotNull()
        expectThat(trace?.relatedLines?.map { it.vm }).isEqualTo(listOf("edge-1"))
    }

    @Test
    fun `other text is skipped and unknown requests have no trace`() {
        expectThat(LogLine.parseOrNull("Exception in thread main")).isNull()
        expectThat(LogLine.parseOrNull("""{"time":1,"vm":"edge-1","ev""")).isNull()
        expectThat(LogLine.parseOrNull("""{"time":1,"vm":"edge-1"}""")).isNull()
        expectThat(traceOrNull("r1", line(1, "edge-1", """"kind":"started""""))).isNull()
    }
}
