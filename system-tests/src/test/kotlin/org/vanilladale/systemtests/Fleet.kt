package org.vanilladale.systemtests

import io.vertx.core.json.JsonObject
import java.io.File
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.time.Duration
import org.vanilladale.runtime.FreePorts

/**
 * A small fleet of real processes on the loopback address with stand-ins for the platform.
 *
 * @param peersMilliseconds wait of each process for peers after its start
 */
class Fleet(private val peersMilliseconds: Long = 500) : AutoCloseable {
    val directory: File = Files.createTempDirectory("vanilladale-fleet").toFile()
    val client: HttpClient = HttpClient.newHttpClient()
    val processes = mutableMapOf<String, ProgramProcess>()
    private val ports = mutableMapOf<String, Int>()

    /** Returns the port called [name]; the first call picks a free one. */
    fun port(name: String): Int = ports.getOrPut(name, FreePorts::take)

    /** Gives the port called [name] up, so that the next use of the name picks another one. */
    fun movePort(name: String) {
        ports -= name
    }

    fun address(name: String): String = "127.0.0.1:${port(name)}"

    fun start(name: String, module: String, vararg arguments: String): ProgramProcess {
        val process = ProgramProcess.start(module, directory, *arguments)
        processes[name] = process
        return process
    }

    fun startConfiguration(routes: String, pools: String) {
        val routesFile = file("routes.json", routes)
        val poolsFile = file("pools.json", pools)
        start(
            "configuration-service",
            "stand-ins",
            "configuration-service",
            "--port=${port("configuration-service")}",
            "--routes=${routesFile.path}",
            "--pools=${poolsFile.path}",
        )
        start("vm-list", "stand-ins", "vm-list", "--port=${port("vm-list")}")
    }

    fun startEngine(target: String, vararg options: String, dataCentre: String = "lodz-1") {
        start("engine-$target", "stand-ins", "engine", "--port=${port("engine-$target")}", *options)
        startAgent(target, "model", "engine-$target", dataCentre = dataCentre)
    }

    fun startService(target: String, dataCentre: String = "lodz-1", vararg options: String) {
        val port = "--port=${port("service-$target")}"
        start("service-$target", "stand-ins", "service", port, *options)
        startAgent(target, "service", "service-$target", dataCentre = dataCentre)
    }

    fun startAgent(
        target: String,
        type: String,
        targetPort: String,
        fields: String = "",
        dataCentre: String = "lodz-1",
    ) {
        val settings = """{
            "vm": "vm-$target", "target": "$target", "dataCentre": "$dataCentre",
            "peerAddress": "${address("agent-$target")}",
            "operatorAddress": "${address("agent-operator-$target")}",
            "targetUrl": "http://${address(targetPort)}", "targetType": "$type",
            ${commonSettings(fields)}
        }"""
        val settingsFile = file("agent-$target.json", settings)
        start("agent-$target", "agent", "--settings=${settingsFile.path}")
    }

    fun startEntry(name: String, dataCentre: String = "lodz-1", fields: String = "") {
        val settings = """{
            "vm": "$name", "dataCentre": "$dataCentre",
            "callerAddress": "${address("caller-$name")}",
            "peerAddress": "${address("peer-$name")}",
            "operatorAddress": "${address("operator-$name")}",
            ${commonSettings(fields)}
        }"""
        start(name, "entry", "--settings=${file("$name.json", settings).path}")
    }

    /** Sends a request of [kind] to [entry]; extra [headers] are name and value in turn. */
    fun send(
        entry: String,
        kind: String,
        key: String,
        body: String,
        vararg headers: String,
    ): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://${address("caller-$entry")}/v1/requests"))
            .timeout(Duration.ofSeconds(REQUEST_SECONDS))
            .header("vanilladale-workspace", "workspace-1")
            .header("vanilladale-kind", kind)
            .header("vanilladale-request-key", key)
            .POST(HttpRequest.BodyPublishers.ofString(body))
        if (headers.isNotEmpty()) request.headers(*headers)
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    fun get(url: String, vararg headers: String): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI(url)).timeout(Duration.ofSeconds(REQUEST_SECONDS))
        if (headers.isNotEmpty()) request.headers(*headers)
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    /** Returns `/v1/status` of the process whose operator port is called [operator], or null. */
    fun statusOrNull(operator: String): JsonObject? = try {
        val url = "http://${address(operator)}/v1/status"
        get(url, "authorization", "Bearer token").takeIf { it.statusCode() == 200 }
            ?.let { JsonObject(it.body()) }
    } catch (_: java.io.IOException) {
        null
    }

    /** Returns the sum of the metric lines of a process that start with [prefix]. */
    fun metric(operator: String, prefix: String): Double =
        get("http://${address(operator)}/metrics", "authorization", "Bearer token").body().lines()
            .filter { it.startsWith(prefix) }
            .sumOf { it.substringAfterLast(' ').toDouble() }

    fun put(url: String, body: String): HttpResponse<String> = client.send(
        HttpRequest.newBuilder(URI(url)).PUT(HttpRequest.BodyPublishers.ofString(body)).build(),
        HttpResponse.BodyHandlers.ofString(),
    )

    /** Waits until [condition] holds; connection errors count as not yet. */
    fun await(what: String, condition: () -> Boolean) {
        val deadline = System.nanoTime() + Duration.ofSeconds(AWAIT_SECONDS).toNanos()
        while (System.nanoTime() < deadline) {
            val holds = try {
                condition()
            } catch (_: java.io.IOException) {
                false
            }
            if (holds) return
            Thread.sleep(POLL_MILLISECONDS)
        }
        error("$what did not happen within $AWAIT_SECONDS s\n${lastLogLines()}")
    }

    /** Returns the end of each process's log, for the report of a failure. */
    fun lastLogLines(): String = processes.entries.joinToString("\n") { (name, process) ->
        "== $name\n" + process.log.readLines().takeLast(LOG_LINES).joinToString("\n")
    }

    override fun close() {
        processes.values.forEach { it.kill() }
        directory.deleteRecursively()
    }

    private fun file(name: String, text: String) = directory.resolve(name).also {
        it.writeText(text)
    }

    private fun commonSettings(fields: String) = """
        "peerSecret": "secret", "operatorToken": "token",
        "configurationServiceUrl": "http://${address("configuration-service")}",
        "vmListUrl": "http://${address("vm-list")}",
        "peersMilliseconds": $peersMilliseconds${if (fields.isEmpty()) "" else ", $fields"}
    """

    private companion object {
        const val REQUEST_SECONDS = 20L
        const val AWAIT_SECONDS = 30L
        const val POLL_MILLISECONDS = 50L
        const val LOG_LINES = 15
    }
}
