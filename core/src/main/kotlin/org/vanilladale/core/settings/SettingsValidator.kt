package org.vanilladale.core.settings

import java.net.URI
import java.net.URISyntaxException
import org.vanilladale.schema.SocketAddressText

/** Collects the faults of settings that could be parsed. */
internal class SettingsValidator {
    private val found = mutableListOf<SettingsFault>()

    /** Faults in the order of the checks. */
    val faults: List<SettingsFault> get() = found.toList()

    /** Each value has to be above zero. */
    fun requirePositive(vararg fields: Pair<String, Number>) {
        fields.filter { (_, value) -> value.toLong() <= 0 }.forEach { (name, value) ->
            found += SettingsFault("$name is $value and must be 1 or more")
        }
    }

    /** Each value has to be zero or above. */
    fun requireNonNegative(vararg fields: Pair<String, Number>) {
        fields.filter { (_, value) -> value.toLong() < 0 }.forEach { (name, value) ->
            found += SettingsFault("$name is $value and must be 0 or more")
        }
    }

    /** Two heartbeats fit into the silence, so that one late frame ends no connection. */
    fun requireTwoHeartbeatsPerSilence(heartbeatMilliseconds: Long, silenceMilliseconds: Long) {
        // Division, because twice a huge heartbeat would overflow.
        if (silenceMilliseconds / 2 < heartbeatMilliseconds) {
            found += SettingsFault(
                "silenceMilliseconds is $silenceMilliseconds and must be at least twice " +
                    "heartbeatMilliseconds, which is $heartbeatMilliseconds",
            )
        }
    }

    /** No address stands at two fields. */
    fun requireDistinctAddresses(fields: List<Pair<String, SocketAddressText>>) {
        fields.groupBy({ it.second }, { it.first }).filter { it.value.size > 1 }
            .forEach { (address, names) ->
                found += SettingsFault("${names.joinToString(" and ")} are all $address")
            }
    }

    /** A text that other processes have to show is neither blank nor the other one. */
    fun requireSecrets(peerSecret: String, operatorToken: String) {
        if (peerSecret.isBlank()) found += SettingsFault("peerSecret is blank")
        if (operatorToken.isBlank()) found += SettingsFault("operatorToken is blank")
        if (peerSecret.isNotBlank() && peerSecret == operatorToken) {
            found += SettingsFault("operatorToken is the same text as peerSecret")
        }
    }

    /** Each value is an `http` or `https` URL with a host. */
    fun requireHttpUrls(vararg fields: Pair<String, String>) {
        fields.filterNot { (_, value) -> isHttpUrl(value) }.forEach { (name, value) ->
            found += SettingsFault("$name is '$value' and must be a URL such as http://10.0.0.1:80")
        }
    }

    /** [value] is at most [limit]. */
    fun requireAtMost(name: String, value: Int, limit: Int) {
        if (value > limit) found += SettingsFault("$name is $value and must be at most $limit")
    }

    private fun isHttpUrl(text: String): Boolean = try {
        val url = URI(text)
        url.scheme in setOf("http", "https") && url.host != null
    } catch (_: URISyntaxException) {
        false
    }
}
