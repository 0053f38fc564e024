package org.vanilladale.runtime

/** Outcome of one read of the configuration service. */
public sealed interface ConfigurationRead {
    /** The service holds another revision than the named one. */
    public data class Published(val tables: PublishedTables) : ConfigurationRead

    /** The service holds the named revision or none at all. */
    public data object Unchanged : ConfigurationRead

    /** The service did not answer, or not with tables. */
    public data object Failed : ConfigurationRead
}
