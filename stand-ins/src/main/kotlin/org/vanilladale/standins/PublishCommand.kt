package org.vanilladale.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import io.vertx.core.json.JsonObject
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

/** Publishes both tables at a running stand-in of the configuration service. */
internal class PublishCommand : CliktCommand("publish") {
    private val port by option(help = "Port of the configuration service").int().required()
    private val routes by option(help = "File with the table of routes").file(mustExist = true)
        .required()
    private val pools by option(help = "File with the table of pools").file(mustExist = true)
        .required()

    override fun run() {
        val tables = JsonObject().put("routes", routes.readText()).put("pools", pools.readText())
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port/control"))
            .PUT(HttpRequest.BodyPublishers.ofString(tables.encode()))
            .build()
        try {
            val client = HttpClient.newHttpClient()
            val response = client.send(request, HttpResponse.BodyHandlers.ofString())
            echo("published ${response.body()}")
        } catch (failed: IOException) {
            throw CliktError("no configuration service on port $port ($failed); start it first")
        }
    }
}
