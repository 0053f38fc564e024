package org.vanilladale.bench.call

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import java.util.UUID
import kotlinx.serialization.json.Json

/** Sends one request as a caller does and prints the checked answer. */
public class CallCommand : CliktCommand("call") {
    private val entry by option(help = "Caller address of an entry, may stand several times")
        .multiple(required = true)
    private val kind by option(help = "Kind of the request").required()
    private val workspace by option(help = "Workspace of the caller").default("workspace-1")
    private val key by option(help = "Request key; a new one when left out")
    private val body by option(help = "Body of the request").default("")
    private val bodyFile by option(help = "File with the body")
        .file(mustExist = true, canBeDir = false)
    private val contentType by option(help = "Content type of the body").default("text/plain")
    private val binding by option(help = "Ask for a binding first: non-idempotent kinds").flag()
    private val waitSeconds by option(help = "Time in which refused requests are repeated")
        .long().default(DEFAULT_WAIT_SECONDS)
    private val json by option(help = "Print JSON").flag()

    override fun help(context: Context): String = """
        Sends one request as a caller does: asks for the entries, binds when told so, repeats
        and resumes with the same key, and checks offsets, length and digest of the answer.

        Exit codes: 0 whole answer, 1 refused and not run, 2 wrong usage, 3 no entry reached,
        4 outcome unknown, 5 the entry issues no bindings, 6 damaged answer.
    """.trimIndent()

    override fun run() {
        val request = CallRequest(
            workspace = workspace,
            kind = kind,
            key = key ?: UUID.randomUUID().toString(),
            contentType = contentType,
            body = bodyFile?.readBytes() ?: body.toByteArray(),
            bound = binding,
            waitMilliseconds = waitSeconds * MILLISECONDS,
        )
        val result = Caller(entry, EntryClient()).run(request)
        if (json) echo(Json.encodeToString(CallResult.serializer(), result)) else print(result)
        val exitCode = CallOutcome.entries.first { it.code == result.outcome }.exitCode
        if (exitCode != 0) throw ProgramResult(exitCode)
    }

    private fun print(result: CallResult) {
        echo(
            "${result.kind} ${result.key}: ${result.outcome}, entry ${result.entry}, " +
                "target ${result.target ?: "none"}, attempts ${result.attempts}, " +
                "${result.milliseconds} ms",
        )
        if (result.text.isNotEmpty()) echo(result.text)
        result.refusal?.let { echo("refused: ${it.reason}, run ${it.run.code}. ${it.remedy}") }
        result.found?.let { echo("found: $it") }
    }

    private companion object {
        const val DEFAULT_WAIT_SECONDS = 10L
        const val MILLISECONDS = 1_000L
    }
}
