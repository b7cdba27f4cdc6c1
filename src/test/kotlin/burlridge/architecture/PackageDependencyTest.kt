package burlridge.architecture

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path

/** Checks that packages depend on each other only in the directions that the table in `docs/architecture.md` allows. */
internal class PackageDependencyTest {
    private val classes: JavaClasses =
        ClassFileImporter()
            .withImportOption(ImportOption.DoNotIncludeTests())
            .importPackages(ROOT)

    /** For each package of the table, the packages that it may use. */
    private val allowed: Map<String, Set<String>> =
        Files
            .readAllLines(Path.of("docs", "architecture.md"))
            .dropWhile { it != "## Packages" }
            .drop(1)
            .takeWhile { !it.startsWith("## ") }
            .mapNotNull { TABLE_ROW.matchEntire(it) }
            .associate { row -> row.groupValues[1] to PACKAGE_NAME.findAll(row.groupValues[2]).map { it.groupValues[1] }.toSet() }

    private fun packageOf(className: String): String? = className.removePrefix("$ROOT.").substringBefore('.', "").takeIf { it.isNotEmpty() }

    @Test
    fun `packages form no cycles`() {
        slices()
            .matching("$ROOT.(*)..")
            .should()
            .beFreeOfCycles()
            .check(classes)
    }

    @Test
    fun `every package is in the table of the architecture page`() {
        val actual = classes.mapNotNull { packageOf(it.name) }.toSortedSet()
        assertTrue(actual.size > 10, "packages found: $actual")
        assertEquals(actual, allowed.keys.toSortedSet())
    }

    @Test
    fun `a package uses only those that the table allows`() {
        val forbidden =
            classes
                .flatMap { it.directDependenciesFromSelf }
                .filter { it.targetClass.name.startsWith("$ROOT.") }
                .filterNot { isAllowed(packageOf(it.originClass.name), packageOf(it.targetClass.name)) }
        assertEquals(emptyList<String>(), forbidden.take(MAX_SHOWN).map { it.description }, "${forbidden.size} in total")
    }

    private fun isAllowed(
        from: String?,
        to: String?,
    ): Boolean = from == null || to == null || from == to || to in allowed[from].orEmpty()

    private companion object {
        const val ROOT = "burlridge"
        const val MAX_SHOWN = 10

        /** A row such as "| `store` | key-value store client | `core`, `json` |". */
        val TABLE_ROW = Regex("""\| `([a-z]+)` \|[^|]*\|([^|]*)\|.*""")
        val PACKAGE_NAME = Regex("`([a-z]+)`")
    }
}
