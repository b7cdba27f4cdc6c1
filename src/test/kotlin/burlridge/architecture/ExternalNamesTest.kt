package burlridge.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readLines

/**
 * Checks that every name of `external-names.txt` is still a string literal in the main sources, so that renaming code cannot change what
 * users, workers, other members, the key-value store, settings files or metrics contain.
 */
internal class ExternalNamesTest {
    private val names: List<String> =
        Path
            .of("src", "test", "resources", "external-names.txt")
            .readLines()
            .filter { it.isNotBlank() && !it.startsWith("# ") }

    /** Source text between quotes and template expressions, which includes the fixed parts of all string literals. */
    private val fragments: Set<String> =
        Files.walk(Path.of("src", "main", "kotlin")).use { files ->
            files
                .filter { it.extension == "kt" }
                .toList()
                .flatMap { it.readLines() }
                .filterNot { COMMENT_LINE.containsMatchIn(it) }
                .flatMap { it.split(SEPARATOR) }
                .mapTo(HashSet()) { it.trim() }
        }

    @Test
    fun `every external name is a literal of the main sources`() {
        assertTrue(names.size > 700, "names in the list: ${names.size}")
        assertEquals(emptySet<String>(), names.toSet() - fragments)
    }

    private companion object {
        val COMMENT_LINE = Regex("""^\s*(\*|/\*|//)""")
        val SEPARATOR = Regex("""\\?"|\$\{|}|\$\w+""")
    }
}
