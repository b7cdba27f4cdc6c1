package burlridge.app

import java.io.File
import java.io.IOException

/**
 * The class data archive that the build records for its jar, and which shortens a start. The JVM silently ignores an archive that was
 * recorded from another jar, by its size and the second of its last change; the same two figures in a file beside the archive let the log
 * tell.
 */
internal class ClassArchive(
    private val jar: File,
) {
    private val archive = File(jar.path.removeSuffix(JAR_SUFFIX) + ARCHIVE_SUFFIX)
    private val recordedFor = File(archive.path + JAR_SUFFIX)

    /** Why the JVM does not use the archive; null if it was recorded from this jar. */
    fun mismatch(): String? =
        when {
            !archive.exists() -> "missing"
            !recordedFor.exists() || recordedFor.readText() != fingerprint() -> "recorded_from_another_jar"
            else -> null
        }

    /** Writes which jar the archive is recorded from. The build renames the file together with the archive. */
    fun recordJar() = File(recordedFor.path + UNFINISHED_SUFFIX).writeText(fingerprint())

    private fun fingerprint() = "size=${jar.length()} modified=${jar.lastModified() / MILLIS_PER_SECOND}\n"

    internal companion object {
        private const val JAR_SUFFIX = ".jar"
        private const val ARCHIVE_SUFFIX = ".jsa"

        /** The build renames a file with this suffix once it is complete. */
        private const val UNFINISHED_SUFFIX = ".new"
        private const val MILLIS_PER_SECOND = 1000

        /** The archive of the jar that this process runs; null if it does not run from a jar. */
        fun ofThisProcess(): ClassArchive? =
            ClassArchive::class.java.protectionDomain.codeSource
                ?.let { File(it.location.path) }
                ?.takeIf { it.isFile }
                ?.let(::ClassArchive)

        /** As [mismatch], for this process; null too if it does not run from a jar, or the files cannot be read. */
        fun mismatchOfThisProcess(): String? =
            try {
                ofThisProcess()?.mismatch()
            } catch (_: IOException) {
                null
            }
    }
}
