package org.vanilladale.core.configuration

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull
import org.vanilladale.schema.Pool
import org.vanilladale.schema.Revision
import org.vanilladale.schema.Route
import org.vanilladale.schema.Tables

private const val MAX_QUOTED_CHARACTERS = 60

@OptIn(ExperimentalSerializationApi::class)
private val tablesJson = Json {
    allowComments = true
    allowTrailingComma = true
}

/**
 * Parses the two operator tables. Each text is a JSON array of rows and may contain comments.
 *
 * The left side contains all syntax and type faults. Value ranges and the join of the tables are
 * checked by [JoinedTables.fromTables].
 */
public fun parseTables(
    revision: Revision,
    routesText: String,
    poolsText: String,
): Either<NonEmptyList<TableFault>, Tables> {
    val routes = parseRows("routes", routesText, Route.serializer())
    val pools = parseRows("pools", poolsText, Pool.serializer())
    return (routes.faults + pools.faults).toNonEmptyListOrNull()?.left()
        ?: Tables(revision, routes.rows, pools.rows).right()
}

/**
 * The rows of one table. Faulty rows are included, so that each row keeps its index.
 *
 * @property rows all rows, with values at faulty places replaced by valid ones
 */
internal class ParsedRows<T>(val rows: List<T>, val faults: List<TableFault>)

internal fun <T> parseRows(place: String, text: String, serializer: KSerializer<T>): ParsedRows<T> {
    val faults = mutableListOf<TableFault>()
    val table = parseElementOrNull(place, text, faults)
    if (table != null && table !is JsonArray) {
        faults += TableFault(place, quoted(table), "write the table as a JSON array of rows")
    }
    val rows = (table as? JsonArray).orEmpty().mapIndexed { index, row ->
        val rowPlace = "$place[$index]"
        val rowFaults = buildList { addElementFaults(rowPlace, row, serializer.descriptor) }
        faults += rowFaults
        val repair = RowRepair(rowFaults.map { it.place }.toSet())
        decodeRow(rowPlace, repair.repair(rowPlace, row, serializer.descriptor), serializer, faults)
    }
    return ParsedRows(rows, faults)
}

private fun parseElementOrNull(
    place: String,
    text: String,
    faults: MutableList<TableFault>,
): JsonElement? = try {
    tablesJson.parseToJsonElement(text)
} catch (exception: SerializationException) {
    val message = exception.message.orEmpty().lineSequence().first()
    val offset = Regex("offset (\\d+)").find(message)?.groupValues?.get(1)?.toIntOrNull()
    val line = offset?.let { text.take(it).count { character -> character == '\n' } + 1 }
    val where = if (line == null) place else "$place line $line"
    faults += TableFault(where, message.take(2 * MAX_QUOTED_CHARACTERS), "correct the JSON syntax")
    null
}

/**
 * Decodes [row]. If the decoder finds a fault that the earlier checks missed, the whole row is
 * replaced.
 */
private fun <T> decodeRow(
    place: String,
    row: JsonElement,
    serializer: KSerializer<T>,
    faults: MutableList<TableFault>,
): T = try {
    tablesJson.decodeFromJsonElement(serializer, row)
} catch (exception: IllegalArgumentException) {
    faults += TableFault(place, exception.message.orEmpty(), "correct the value in this row")
    val substitute = RowRepair(setOf(place)).repair(place, row, serializer.descriptor)
    tablesJson.decodeFromJsonElement(serializer, substitute)
}

private fun MutableList<TableFault>.addElementFaults(
    place: String,
    element: JsonElement,
    descriptor: SerialDescriptor,
) {
    when {
        element is JsonNull && descriptor.isNullable -> Unit
        descriptor.isInline -> addInlineFaults(place, element, descriptor)
        descriptor.kind == StructureKind.CLASS -> addObjectFaults(place, element, descriptor)
        descriptor.kind == StructureKind.LIST -> if (element is JsonArray) {
            element.forEachIndexed { index, item ->
                addElementFaults("$place[$index]", item, descriptor.getElementDescriptor(0))
            }
        } else {
            add(TableFault(place, quoted(element), "write a JSON array"))
        }
        else -> addPrimitiveFault(place, element, descriptor)
    }
}

private fun MutableList<TableFault>.addInlineFaults(
    place: String,
    element: JsonElement,
    descriptor: SerialDescriptor,
) {
    val before = size
    addElementFaults(place, element, descriptor.getElementDescriptor(0))
    if (size > before || element !is JsonPrimitive) return
    valueFaultOrNull(descriptor, element.content)?.let { remedy ->
        add(TableFault(place, quoted(element), remedy))
    }
}

private fun MutableList<TableFault>.addObjectFaults(
    place: String,
    element: JsonElement,
    descriptor: SerialDescriptor,
) {
    if (element !is JsonObject) {
        add(TableFault(place, quoted(element), "write a JSON object"))
        return
    }
    val names = (0 until descriptor.elementsCount).map { descriptor.getElementName(it) }
    (element.keys - names.toSet()).forEach { unknown ->
        add(TableFault("$place.$unknown", "an unknown field", "use one of $names or remove it"))
    }
    names.forEachIndexed { index, name ->
        val value = element[name]
        if (value != null) {
            addElementFaults("$place.$name", value, descriptor.getElementDescriptor(index))
        } else if (!descriptor.isElementOptional(index)) {
            add(TableFault("$place.$name", "nothing", "add the required field $name"))
        }
    }
}

private fun MutableList<TableFault>.addPrimitiveFault(
    place: String,
    element: JsonElement,
    descriptor: SerialDescriptor,
) {
    val expected = expectedTypeOrNull(element as? JsonPrimitive, descriptor) ?: return
    add(TableFault(place, quoted(element), "write $expected"))
}

/** Returns the type that [descriptor] requires, or null if [value] has it. */
private fun expectedTypeOrNull(value: JsonPrimitive?, descriptor: SerialDescriptor): String? {
    val literal = value?.takeIf { !it.isString && it !is JsonNull }
    val (matches, expected) = when (descriptor.kind) {
        PrimitiveKind.STRING -> (value?.isString == true) to "a string in quotes"
        PrimitiveKind.BOOLEAN -> (literal?.booleanOrNull != null) to "true or false"
        PrimitiveKind.INT -> (literal?.intOrNull != null) to "a whole number of 32 bits"
        PrimitiveKind.LONG -> (literal?.longOrNull != null) to "a whole number"
        PrimitiveKind.DOUBLE -> (literal?.doubleOrNull?.isFinite() == true) to "a number"
        SerialKind.ENUM -> {
            val codes = (0 until descriptor.elementsCount).map { descriptor.getElementName(it) }
            (value?.isString == true && value.content in codes) to "one of $codes"
        }
        else -> error("no check for table fields of kind ${descriptor.kind}")
    }
    return expected.takeUnless { matches }
}

private fun quoted(element: JsonElement): String = element.toString().take(MAX_QUOTED_CHARACTERS)
