package org.vanilladale.core.configuration

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.SerialDescriptor
import org.vanilladale.schema.AdapterName
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.ModelName
import org.vanilladale.schema.ModelVersion
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.RequestKind
import org.vanilladale.schema.RouteName
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.TargetId

private val parsers: Map<String, (String) -> Any> = mapOf(
    "AdapterName" to AdapterName::parse,
    "DataCentreName" to DataCentreName::parse,
    "GroupId" to GroupId::parse,
    "ModelName" to ModelName::parse,
    "ModelVersion" to ModelVersion::parse,
    "PoolName" to PoolName::parse,
    "RequestKind" to RequestKind::parse,
    "RouteName" to RouteName::parse,
    "SocketAddressText" to SocketAddressText::parse,
    "TargetId" to TargetId::parse,
)

/**
 * Returns why [text] isn't valid for the value class that [descriptor] describes, or null if it is
 * valid or the class accepts any text.
 */
@OptIn(ExperimentalSerializationApi::class)
internal fun valueFaultOrNull(descriptor: SerialDescriptor, text: String): String? {
    val name = descriptor.serialName.removeSuffix("?").substringAfterLast('.')
    val parse = parsers[name] ?: return null
    return runCatching { parse(text) }.exceptionOrNull()?.message
}
