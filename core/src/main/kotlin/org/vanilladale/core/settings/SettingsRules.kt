package org.vanilladale.core.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import kotlinx.serialization.DeserializationStrategy
import org.vanilladale.schema.AgentSettings
import org.vanilladale.schema.EntrySettings

/** The maximum size of a frame, 1 MiB, minus 16 KiB for the headers of the request. */
private const val MAX_BODY_BYTES = 1_048_576 - 16_384

/**
 * Parses and checks the settings of an entry.
 *
 * The left side contains all faults, or only the first one if the text can't be parsed.
 */
public fun readEntrySettings(text: String): Either<NonEmptyList<SettingsFault>, EntrySettings> =
    read(EntrySettings.serializer(), text, ::findEntryFaults)

/**
 * Parses and checks the settings of an agent.
 *
 * The left side contains all faults, or only the first one if the text can't be parsed.
 */
public fun readAgentSettings(text: String): Either<NonEmptyList<SettingsFault>, AgentSettings> =
    read(AgentSettings.serializer(), text, ::findAgentFaults)

private fun <T> read(
    deserializer: DeserializationStrategy<T>,
    text: String,
    check: (T) -> List<SettingsFault>,
): Either<NonEmptyList<SettingsFault>, T> = SettingsText.parse(deserializer, text)
    .mapLeft { nonEmptyListOf(it) }
    .flatMap { check(it).toNonEmptyListOrNull()?.left() ?: it.right() }

private fun findEntryFaults(settings: EntrySettings): List<SettingsFault> =
    SettingsValidator().run {
        val addresses = listOf(
            "callerAddress" to settings.callerAddress,
            "peerAddress" to settings.peerAddress,
            "operatorAddress" to settings.operatorAddress,
        )
        requireDistinctAddresses(
            addresses + settings.peers.mapIndexed { index, peer ->
                "peers[$index]" to peer
            },
        )
        requireSecrets(settings.peerSecret, settings.operatorToken)
        requireHttpUrls(
            "configurationServiceUrl" to settings.configurationServiceUrl,
            "vmListUrl" to settings.vmListUrl,
        )
        requirePositive(
            "subsetSize" to settings.subsetSize,
            "storedBy" to settings.storedBy,
            "peersMilliseconds" to settings.peersMilliseconds,
            "maximumBodyBytes" to settings.maximumBodyBytes,
            "bodyMilliseconds" to settings.bodyMilliseconds,
            "keepEntriesMilliseconds" to settings.keepEntriesMilliseconds,
            "heartbeatMilliseconds" to settings.heartbeatMilliseconds,
            "silenceMilliseconds" to settings.silenceMilliseconds,
            "drainMilliseconds" to settings.drainMilliseconds,
            "firstAnswerMilliseconds" to settings.firstAnswerMilliseconds,
            "progressMilliseconds" to settings.progressMilliseconds,
        )
        requireAtMost("maximumBodyBytes", settings.maximumBodyBytes, MAX_BODY_BYTES)
        requireTwoHeartbeatsPerSilence(settings.heartbeatMilliseconds, settings.silenceMilliseconds)
        faults
    }

private fun findAgentFaults(settings: AgentSettings): List<SettingsFault> =
    SettingsValidator().run {
        requireDistinctAddresses(
            listOf(
                "peerAddress" to settings.peerAddress,
                "operatorAddress" to settings.operatorAddress,
            ),
        )
        requireSecrets(settings.peerSecret, settings.operatorToken)
        requireHttpUrls(
            "targetUrl" to settings.targetUrl,
            "configurationServiceUrl" to settings.configurationServiceUrl,
            "vmListUrl" to settings.vmListUrl,
        )
        requirePositive(
            "slots" to settings.slots,
            "longestBindingMilliseconds" to settings.longestBindingMilliseconds,
            "longestLeaseMilliseconds" to settings.longestLeaseMilliseconds,
            "storedBy" to settings.storedBy,
            "peersMilliseconds" to settings.peersMilliseconds,
            "rankLeaseMilliseconds" to settings.rankLeaseMilliseconds,
            "stepDeadlineMilliseconds" to settings.stepDeadlineMilliseconds,
            "planMilliseconds" to settings.planMilliseconds,
            "planCoolDownMilliseconds" to settings.planCoolDownMilliseconds,
            "movePeriodMilliseconds" to settings.movePeriodMilliseconds,
            "popularityMilliseconds" to settings.popularityMilliseconds,
            "heartbeatMilliseconds" to settings.heartbeatMilliseconds,
            "silenceMilliseconds" to settings.silenceMilliseconds,
            "drainMilliseconds" to settings.drainMilliseconds,
        )
        requireNonNegative("queue" to settings.queue)
        requireTwoHeartbeatsPerSilence(settings.heartbeatMilliseconds, settings.silenceMilliseconds)
        faults
    }
