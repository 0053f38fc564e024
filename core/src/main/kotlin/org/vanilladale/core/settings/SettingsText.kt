package org.vanilladale.core.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json

/** Parses settings in JSON. Comments and trailing commas are allowed, unknown fields are faults. */
@OptIn(ExperimentalSerializationApi::class)
public object SettingsText {
    private val json = Json {
        allowComments = true
        allowTrailingComma = true
        ignoreUnknownKeys = false
    }

    /** Parses [text]. The left side contains the first fault that the parser finds. */
    public fun <T> parse(
        deserializer: DeserializationStrategy<T>,
        text: String,
    ): Either<SettingsFault, T> = try {
        json.decodeFromString(deserializer, text).right()
    } catch (exception: IllegalArgumentException) {
        SettingsFault(exception.message.orEmpty().lineSequence().first()).left()
    }
}
