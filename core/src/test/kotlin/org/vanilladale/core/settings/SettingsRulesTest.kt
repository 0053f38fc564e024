package org.vanilladale.core.settings

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

/** Guards against processes that start with invalid settings. */
class SettingsRulesTest {
    private val shared = """"vm": "v", "dataCentre": "x", "peerAddress": "10.0.0.1:2",
        "operatorAddress": "10.0.0.1:3", "peerSecret": "s", "operatorToken": "t",
        "configurationServiceUrl": "http://10.0.0.9", "vmListUrl": "http://10.0.0.9:81""""
    private val entry = """{$shared, "callerAddress": "10.0.0.1:1"}"""
    private val agent = """{$shared, "target": "a", "targetUrl": "http://127.0.0.1:5",
        "targetType": "model"}"""

    private fun String.plusFields(fields: String) = dropLast(1) + ", $fields}"

    private fun String.replacing(from: String, to: String) = replace(from, to).also {
        check(it != this) { "'$from' isn't in the settings" }
    }

    /** Returns the field of each fault, which is its first word. */
    private fun entryFields(text: String) =
        readEntrySettings(text).leftOrNull()?.map { it.found.substringBefore(' ') }.orEmpty()

    private fun agentFields(text: String) =
        readAgentSettings(text).leftOrNull()?.map { it.found.substringBefore(' ') }.orEmpty()

    @Test
    fun `default settings have no faults`() {
        expectThat(readEntrySettings(entry).isRight()).isEqualTo(true)
        expectThat(readAgentSettings(agent).isRight()).isEqualTo(true)
    }

    @Test
    fun `each entry field that is out of range is reported`() {
        val cases = listOf(
            """"subsetSize": 0""" to "subsetSize",
            """"storedBy": 0""" to "storedBy",
            """"maximumBodyBytes": 0""" to "maximumBodyBytes",
            """"maximumBodyBytes": 1048576""" to "maximumBodyBytes",
            """"bodyMilliseconds": 0""" to "bodyMilliseconds",
            """"keepEntriesMilliseconds": -1""" to "keepEntriesMilliseconds",
            """"heartbeatMilliseconds": 0""" to "heartbeatMilliseconds",
            """"heartbeatMilliseconds": 1501""" to "silenceMilliseconds",
            """"silenceMilliseconds": 1999""" to "silenceMilliseconds",
            """"heartbeatMilliseconds": 9223372036854775807""" to "silenceMilliseconds",
            """"drainMilliseconds": 0""" to "drainMilliseconds",
            """"peersMilliseconds": 0""" to "peersMilliseconds",
            """"firstAnswerMilliseconds": 0""" to "firstAnswerMilliseconds",
            """"progressMilliseconds": 0""" to "progressMilliseconds",
            """"peers": ["10.0.0.1:2"]""" to "peerAddress",
            """"peers": ["10.0.0.2:2", "10.0.0.2:2"]""" to "peers[0]",
        )
        cases.forEach { (field, expected) ->
            expectThat(
                entryFields(entry.plusFields(field)),
            ).describedAs(field).containsExactly(expected)
        }
    }

    @Test
    fun `each agent field that is out of range is reported`() {
        val cases = listOf(
            """"slots": 0""" to "slots",
            """"queue": -1""" to "queue",
            """"longestBindingMilliseconds": 0""" to "longestBindingMilliseconds",
            """"longestLeaseMilliseconds": 0""" to "longestLeaseMilliseconds",
            """"heartbeatMilliseconds": 0""" to "heartbeatMilliseconds",
            """"silenceMilliseconds": 1999""" to "silenceMilliseconds",
            """"drainMilliseconds": -5""" to "drainMilliseconds",
        )
        cases.forEach { (field, expected) ->
            expectThat(
                agentFields(agent.plusFields(field)),
            ).describedAs(field).containsExactly(expected)
        }
        expectThat(agentFields(agent.replacing("http://127.0.0.1:5", "127.0.0.1:5")))
            .containsExactly("targetUrl")
    }

    @Test
    fun `all faults are reported at once`() {
        val text = entry.replacing("10.0.0.1:3", "10.0.0.1:1").replacing("\"t\"", "\"s\"")
            .replacing("http://10.0.0.9:81", "ftp://10.0.0.9")
            .plusFields(""""subsetSize": 0, "silenceMilliseconds": 500""")
        expectThat(entryFields(text)).containsExactly(
            "callerAddress",
            "operatorToken",
            "vmListUrl",
            "subsetSize",
            "silenceMilliseconds",
        )
    }

    @Test
    fun `text that can not be parsed is reported as one fault`() {
        expectThat(readEntrySettings("{").leftOrNull()?.size).isEqualTo(1)
    }
}
