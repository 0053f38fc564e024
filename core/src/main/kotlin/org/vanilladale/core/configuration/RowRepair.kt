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
 * Replaces the values at faulty places with valid ones, so that the rest of a row can be checked.
 *
 * @param faultyPlaces the places of the unreadable values
 */
@OptIn(ExperimentalSerializationApi::class)
internal class RowRepair(private val faultyPlaces: Set<String>) {
    /** Returns [element], which is located at [place], in a form that [descriptor] accepts. */
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
                    // An optional value that is unreadable is omitted, so that its default is used.
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

        // The place makes each substitute unique, so that no names are reported as duplicates.
        descriptor.kind == PrimitiveKind.STRING -> JsonPrimitive("unreadable $place")

        // The substitutes for booleans and enums result in idempotent routes and service pools. No
        // rule that relates several fields applies to these, so they cause no further faults.
        descriptor.kind == PrimitiveKind.BOOLEAN -> JsonPrimitive(true)

        descriptor.kind == SerialKind.ENUM ->
            JsonPrimitive(descriptor.getElementName(descriptor.elementsCount - 1))

        else -> JsonPrimitive(1)
    }
}
