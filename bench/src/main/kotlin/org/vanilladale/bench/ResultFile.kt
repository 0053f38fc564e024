package org.vanilladale.bench

import java.nio.file.Path
import kotlin.io.path.createParentDirectories
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

private val resultJson = Json { prettyPrint = true }

/** Result file of an experiment: what was run and what came out. */
@Serializable
public data class ResultFile<R>(val command: String, val seeds: List<Long>, val results: List<R>)

/** Writes [file] as JSON to [path]; [serializer] is that of one result. */
public fun <R> writeResultFile(path: Path, file: ResultFile<R>, serializer: KSerializer<R>) {
    path.createParentDirectories()
    path.writeText(resultJson.encodeToString(ResultFile.serializer(serializer), file) + "\n")
}

/** Reads what [writeResultFile] has written to [path]. */
public fun <R> readResultFile(path: Path, serializer: KSerializer<R>): ResultFile<R> =
    resultJson.decodeFromString(ResultFile.serializer(serializer), path.readText())
