package org.vanilladale.operator

import arrow.core.Either
import arrow.core.NonEmptyList
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import org.vanilladale.core.configuration.JoinedTables
import org.vanilladale.core.configuration.TableFault
import org.vanilladale.core.configuration.readTables
import org.vanilladale.schema.Revision

/** The files with the two tables. */
internal class TablesOptions : OptionGroup("Tables") {
    private val routes by option(help = "File with the table of routes, JSON with comments")
        .file(mustExist = true, canBeDir = false)
        .required()
    private val pools by option(help = "File with the table of pools, JSON with comments")
        .file(mustExist = true, canBeDir = false)
        .required()

    /** Reads, checks and joins the tables; the left side holds every fault. */
    fun read(): Either<NonEmptyList<TableFault>, JoinedTables> =
        readTables(FILE_REVISION, routes.readText(), pools.readText())

    private companion object {
        /** Files have no revision; the configuration service gives it. */
        val FILE_REVISION = Revision(0)
    }
}
