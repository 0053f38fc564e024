package org.vanilladale.runtime

import org.vanilladale.schema.Revision

/** Both tables as the configuration service publishes them, as texts under one revision. */
public data class PublishedTables(val revision: Revision, val routes: String, val pools: String)
