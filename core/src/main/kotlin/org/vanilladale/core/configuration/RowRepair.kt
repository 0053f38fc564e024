package org.vanilladale.core.configuration

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * Replaces the values at faulty places by valid ones, so that the rest of a row can be checked.
 *
 * @param faultyPlaces places of the values that can't be read
 */
@OptIn(ExperimentalSerializationApi::class)
internal class RowRepair(private val faultyPlaces: Set<String>) {
    /** Returns [element] at [place] in a form that [descriptor] accepts. */
    fun repair(place: String, element: JsonElement, descriptor: SerialDescriptor): JsonElement =
        when {
            place in faultyPlaces -> substitute(place, descriptor)

            element is JsonObject && descriptor.kind == StructureKind.CLASS ->
                repairObject(place, element, descriptor)

            element is JsonArray -> JsonArray(
                element.mapIndexed { index, item ->
                    repair("$place[$index]", item, descriptor.getElementDescriptor(0))
                },
            )

            else -> element
        }

    private fun repairObject(
        place: String,
        element: JsonObject,
        descriptor: SerialDescriptor,
    ): JsonObject = JsonObject(
        buildMap {
            for (index in 0 until descriptor.elementsCount) {
                val name = descriptor.getElementName(index)
                val field = descriptor.getElementDescriptor(index)
                val value = element[name]
                val fieldPlace = "$place.$name"
                val optional = descriptor.isElementOptional(index)
                when {
                    // The default stands in for an optional value that can't be read.
                    optional && (value == null || fieldPlace in faultyPlaces) -> Unit

                    value == null -> put(name, substitute(fieldPlace, field))

                    else -> put(name, repair(fieldPlace, value, field))
                }
            }
        },
    )

    private fun substitute(place: String, descriptor: SerialDescriptor): JsonElement = when {
        descriptor.isNullable -> JsonNull

        descriptor.serialName.endsWith("SocketAddressText") -> JsonPrimitive("127.0.0.1:1")

        descriptor.isInline -> substitute(place, descriptor.getElementDescriptor(0))

        descriptor.kind == StructureKind.LIST -> JsonArray(emptyList())

        descriptor.kind == StructureKind.CLASS ->
            repairObject(place, JsonObject(emptyMap()), descriptor)

        // The place is unique, so that substituted names never count as duplicates.
        descriptor.kind == PrimitiveKind.STRING -> JsonPrimitive("unreadable $place")

        // An idempotent route and a service pool take part in no rule about two fields.
        descriptor.kind == PrimitiveKind.BOOLEAN -> JsonPrimitive(true)

        descriptor.kind == SerialKind.ENUM ->
            JsonPrimitive(descriptor.getElementName(descriptor.elementsCount - 1))

        else -> JsonPrimitive(1)
    }
}
