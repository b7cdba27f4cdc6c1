package burlridge.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText

/** Checks that `docs/operating.md`, where operators find what each event means and what to do, lists exactly the events that are logged. */
internal class LogReferenceTest {
    private val logged: Set<String> =
        Files.walk(Path.of("src", "main", "kotlin")).use { files ->
            files
                .filter { it.extension == "kt" }
                .toList()
                .flatMap { file -> eventsIn(file.readText()) }
                .toSet()
        }

    private val documented: Set<String> =
        EVENT_ROW
            .findAll(Path.of("docs", "operating.md").readText())
            .map { it.groupValues[1] }
            .toSet()

    private fun eventsIn(source: String): List<String> =
        listOf(LOG_CALL, LOG_CONSTANT).flatMap { pattern -> pattern.findAll(source).map { it.groupValues[1] } }

    @Test
    fun `exactly the events of level info and above are documented`() {
        assertTrue(logged.size > 40, "found only ${logged.size} events")
        assertEquals(emptySet<String>(), logged - documented, "logged, not documented")
        assertEquals(emptySet<String>(), documented - logged, "documented, not logged")
    }

    private companion object {
        /** The event of a log line, of the deterministic core or of the I/O code around it. */
        val LOG_CALL = Regex("""\b(?:context|log)\.(?:info|infoLimited|error)\(\s*(?:logLine\()?"([a-z][^"={]*?)(?: \w+=\{[^"]*)?"""")

        /** Events that are constants of an enum. */
        val LOG_CONSTANT = Regex(""""(failover [a-z]+ refused)"""")
        val EVENT_ROW = Regex("""(?m)^\| `([a-z][^`]*)` \| (?:info|error) \|""")
    }
}
