package org.vanilladale.agent.rankgroup

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger
import org.vanilladale.core.configuration.JoinedTables
import org.vanilladale.core.configuration.parseTables
import org.vanilladale.runtime.PlatformReader

/** Follows the tables of the configuration service; a faulty or lower revision changes nothing. */
internal class ServiceTables(private val platform: PlatformReader) {
    @Volatile
    private var latest: JoinedTables? = null

    /** Returns the newest tables, or null before the first read. */
    fun current(): JoinedTables? = latest

    fun start(scope: CoroutineScope) {
        scope.launch { while (isActive) follow() }
    }

    private suspend fun follow() {
        val held = latest?.revision
        val published = platform.readTables(held, WATCH_MILLISECONDS)
        if (published == null || held != null && published.revision <= held) {
            delay(READ_PAUSE_MILLISECONDS)
            return
        }
        val tables = parseTables(published.revision, published.routes, published.pools)
            .fold({ null to it.toString() }, { parsed ->
                JoinedTables.fromTables(parsed)
                    .fold({ null to it.toString() }, { it to "" })
            })
        tables.first?.let { latest = it }
        if (tables.first == null) {
            Logger.warn { "group: revision ${published.revision} refused: ${tables.second}" }
            delay(READ_PAUSE_MILLISECONDS)
        }
    }

    private companion object {
        const val WATCH_MILLISECONDS = 30_000L
        const val READ_PAUSE_MILLISECONDS = 500L
    }
}
