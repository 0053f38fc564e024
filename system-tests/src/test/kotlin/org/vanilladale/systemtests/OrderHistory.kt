package org.vanilladale.systemtests

import io.vertx.core.json.JsonObject
import java.io.IOException
import java.net.URI
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import org.vanilladale.core.once.BindingCodec
import org.vanilladale.schema.Binding
import org.vanilladale.schema.BindingText

/** Places orders in a [fleet], records what callers were told and compares it with the services. */
class OrderHistory(private val fleet: Fleet, private val services: List<String>) {
    enum class Told { ANSWER, NOT_RUN, UNKNOWN, CONNECTION_LOST }

    data class Order(val key: String, val text: String, val binding: Binding)

    data class Return(val order: Order, val told: Told, val body: String)

    data class Figures(
        val orders: Int,
        val told: Map<Told, Int>,
        val executions: Int,
        val reasons: Map<String, Int>,
    )

    private val returns = ConcurrentLinkedQueue<Return>()

    fun post(entry: String, path: String, vararg headers: String): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://${fleet.address("caller-$entry")}$path"))
            .timeout(Duration.ofSeconds(REQUEST_SECONDS))
            .header("vanilladale-workspace", "workspace-1")
            .headers(*headers)
            .POST(HttpRequest.BodyPublishers.ofString("brass cup pull"))
        return fleet.client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    /** Asks [entry] for a binding; null when it refuses. */
    fun bindOrNull(entry: String, key: String): Order? {
        val kind = arrayOf("vanilladale-kind", "order", "vanilladale-request-key", key)
        val answer = post(entry, "/v1/bindings", *kind)
        if (answer.statusCode() != HTTP_OK) return null
        val text = JsonObject(answer.body()).getString("binding")
        return Order(key, text, checkNotNull(BindingCodec.parseOrNull(BindingText.parse(text))))
    }

    fun bind(entry: String, key: String): Order =
        checkNotNull(bindOrNull(entry, key)) { "no binding" }

    /** Sends one copy of [order] and records what its caller is told. */
    fun send(entry: String, order: Order, vararg headers: String): Return {
        val all = arrayOf(
            "vanilladale-kind",
            "order",
            "vanilladale-request-key",
            order.key,
            "vanilladale-binding",
            order.text,
        ) + headers
        val told = try {
            val answer = post(entry, "/v1/requests", *all)
            Return(order, toldBy(answer), answer.body())
        } catch (lost: IOException) {
            Return(order, Told.CONNECTION_LOST, lost.toString())
        }
        return told.also { returns += it }
    }

    fun sendAsync(entry: String, order: Order, vararg headers: String): CompletableFuture<Return> =
        CompletableFuture.supplyAsync { send(entry, order, *headers) }

    fun control(body: String) {
        services.forEach { fleet.put("http://${fleet.address("service-$it")}/control", body) }
    }

    /** Executions of each key, summed over the services. */
    fun executions(): Map<String, Int> = services
        .map { JsonObject(fleet.get("http://${fleet.address("service-$it")}$EXECUTIONS").body()) }
        .flatMap { counts -> counts.fieldNames().map { it to counts.getInteger(it) } }
        .groupBy({ it.first.substringAfter('/') }, { it.second })
        .mapValues { it.value.sum() }

    /** Returns what contradicts the history: repeated executions and wrong `no` or answers. */
    fun contradictions(): List<String> {
        val executions = executions()
        val twice = executions.filterValues { it > 1 }.map { "${it.key} ran ${it.value} times" }
        val wrong = returns.mapNotNull {
            val count = executions[it.order.key] ?: 0
            when {
                it.told == Told.NOT_RUN && count > 0 -> "${it.order.key} was told no but ran"
                it.told == Told.ANSWER && count == 0 -> "${it.order.key} was answered but not run"
                else -> null
            }
        }
        return twice + wrong
    }

    fun figures(keyPrefix: String): Figures {
        val own = returns.filter { it.order.key.startsWith(keyPrefix) }
        val ran = executions().filterKeys { it.startsWith(keyPrefix) }.values.sum()
        val orders = own.map { it.order.key }.distinct().size
        val told = own.groupingBy { it.told }.eachCount().toSortedMap()
        val reasons = own.mapNotNull { REASON.find(it.body)?.value }.groupingBy { it }.eachCount()
        return Figures(orders, told, ran, reasons)
    }

    private fun toldBy(answer: HttpResponse<String>): Told {
        val last = answer.body().lines().lastOrNull { it.isNotBlank() }.orEmpty()
        return when {
            answer.statusCode() == HTTP_OK && "\"end\":true" in last -> Told.ANSWER
            "\"run\":\"no\"" in last -> Told.NOT_RUN
            else -> Told.UNKNOWN
        }
    }

    private companion object {
        const val REQUEST_SECONDS = 20L
        const val HTTP_OK = 200
        val REASON = Regex("(?<=\"reason\":\")[a-z-]+")
        const val EXECUTIONS = "/control/executions"
    }
}
