package org.vanilladale.schema

import kotlinx.serialization.Serializable

/** Message between the system's own processes; the serial name of a subtype is its wire name. */
@Serializable
public sealed interface Frame
