package org.vanilladale.core.settings

import java.net.URI
import java.net.URISyntaxException
import org.vanilladale.schema.SocketAddressText

/**
 * Validates the values of parsed settings. The functions record faults instead of throwing
 * exceptions.
 */
internal class SettingsValidator {
    private val found = mutableListOf<SettingsFault>()

    /** The faults recorded so far, in the order of the checks. */
    val faults: List<SettingsFault> get() = found.toList()

    /** Records a fault for each value that is zero or negative. */
    fun requirePositive(vararg fields: Pair<String, Number>) {
        fields.filter { (_, value) -> value.toLong() <= 0 }.forEach { (name, value) ->
            found += SettingsFault("$name is $value and must be 1 or more")
        }
    }

    /** Records a fault for each negative value. */
    fun requireNonNegative(vararg fields: Pair<String, Number>) {
        fields.filter { (_, value) -> value.toLong() < 0 }.forEach { (name, value) ->
            found += SettingsFault("$name is $value and must be 0 or more")
        }
    }

    /**
     * Records a fault if a connection would be closed after less than two heartbeat intervals
     * without a frame, because then a single late heartbeat could close it.
     */
    fun requireTwoHeartbeatsPerSilence(heartbeatMilliseconds: Long, silenceMilliseconds: Long) {
        // Doubling a very large heartbeat interval would overflow, so the other side is halved.
        if (silenceMilliseconds / 2 < heartbeatMilliseconds) {
            found += SettingsFault(
                "silenceMilliseconds is $silenceMilliseconds and must be at least twice " +
                    "heartbeatMilliseconds, which is $heartbeatMilliseconds",
            )
        }
    }

    /** Records a fault for each address that is used by more than one field. */
    fun requireDistinctAddresses(fields: List<Pair<String, SocketAddressText>>) {
        fields.groupBy({ it.second }, { it.first }).filter { it.value.size > 1 }
            .forEach { (address, names) ->
                found += SettingsFault("${names.joinToString(" and ")} are all $address")
            }
    }

    /** Records a fault for each blank secret, and a fault if both secrets are the same. */
    fun requireSecrets(peerSecret: String, operatorToken: String) {
        if (peerSecret.isBlank()) found += SettingsFault("peerSecret is blank")
        if (operatorToken.isBlank()) found += SettingsFault("operatorToken is blank")
        if (peerSecret.isNotBlank() && peerSecret == operatorToken) {
            found += SettingsFault("operatorToken is the same text as peerSecret")
        }
    }

    /** Records a fault for each value that isn't an `http` or `https` URL with a host. */
    fun requireHttpUrls(vararg fields: Pair<String, String>) {
        fields.filterNot { (_, value) -> isHttpUrl(value) }.forEach { (name, value) ->
            found += SettingsFault("$name is '$value' and must be a URL such as http://10.0.0.1:80")
        }
    }

    /** Records a fault if [value] is greater than [limit]. */
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
