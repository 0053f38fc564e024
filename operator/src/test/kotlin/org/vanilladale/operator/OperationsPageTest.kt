package org.vanilladale.operator

import java.io.File
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.SerialDescriptor
import org.junit.jupiter.api.Test
import org.vanilladale.core.configuration.ConfigurationAlarm
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.core.stream.AnswerDamage
import org.vanilladale.core.stream.DropReason
import org.vanilladale.schema.AgentSettings
import org.vanilladale.schema.EntrySettings
import org.vanilladale.schema.Pool
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.Route
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty

/** Guards against a field, reason or event that operators can't look up. */
@OptIn(ExperimentalSerializationApi::class)
class OperationsPageTest {
    private val root = generateSequence(File("").absoluteFile) { it.parentFile }
        .first { it.resolve("docs/OPERATIONS.md").exists() }
    private val page = root.resolve("docs/OPERATIONS.md").readText()

    /** Rows of the tables in the section under [heading], by their first cell. */
    private fun rows(heading: String): Map<String, List<String>> =
        page.substringAfter("\n$heading\n", missingDelimiterValue = "")
            .lineSequence()
            .takeWhile { !it.startsWith("#") }
            .filter { it.startsWith("| `") }
            .map { line -> line.trim('|').split('|').map { it.trim() } }
            .associateBy { it.first().trim('`') }

    @Test
    fun `each field of settings and tables has a row with its default`() {
        val sections = mapOf(
            "### Entry settings" to EntrySettings.serializer().descriptor,
            "### Agent settings" to AgentSettings.serializer().descriptor,
            "### Routes" to Route.serializer().descriptor,
            "### Pools" to Pool.serializer().descriptor,
            "### Targets of a pool" to PoolTarget.serializer().descriptor,
        )
        sections.forEach { (heading, descriptor) ->
            val rows = rows(heading)
            expectThat(rows.keys.toList()).describedAs(heading)
                .containsExactlyInAnyOrder(names(descriptor))
            rows.forEach { (name, cells) ->
                val optional = descriptor.isElementOptional(descriptor.getElementIndex(name))
                expectThat(cells).describedAs("$heading $name").get { this[DEFAULT_COLUMN] }
                    .assert("tells whether the field is required") {
                        if (optional == (it != "required")) pass() else fail()
                    }
                expectThat(cells.last()).describedAs("effect of $name").isNotEmpty()
            }
        }
    }

    @Test
    fun `each refusal reason has a row with status and run state`() {
        val rows = rows("## Refusals")
        expectThat(RefusalReason.entries.map { it.code } - rows.keys).isEmpty()
        expectThat(rows.keys.toList() - RefusalReason.entries.map { it.code }.toSet()).isEmpty()
        RefusalReason.entries.forEach { reason ->
            expectThat(rows.getValue(reason.code).subList(1, 3)).describedAs(reason.code)
                .containsExactly("${reason.httpStatus}", reason.run.code)
        }
    }

    @Test
    fun `each retry reason has a row`() {
        expectThat(rows("## Retries").keys.toList())
            .containsExactly(RetryReason.entries.map { it.code })
    }

    @Test
    fun `each event has a row`() {
        val events = rows("## Events and states").keys
        val known = DropReason.entries.map { "frame-${it.code}" } +
            AnswerDamage.entries.map { "answer-${it.code}" } +
            ConfigurationAlarm.entries.map { it.code }
        expectThat(known - events).isEmpty()
        expectThat(eventsInSources()).isNotEmpty()
        expectThat(eventsInSources() - events).isEmpty()
    }

    /** Event codes that the programs write as literals. */
    private fun eventsInSources(): Set<String> = listOf("entry", "agent", "runtime", "transport")
        .flatMap { root.resolve("$it/src/main").walk().filter { file -> file.extension == "kt" } }
        .flatMap { file -> EVENT.findAll(file.readText()).map { it.groupValues[1] } }
        .toSet()

    private fun names(descriptor: SerialDescriptor) =
        (0 until descriptor.elementsCount).map { descriptor.getElementName(it) }

    private companion object {
        const val DEFAULT_COLUMN = 3
        val EVENT = Regex("""\.event\(\s*"([^"$]+)"""")
    }
}
