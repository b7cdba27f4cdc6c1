package burlridge.app

import burlridge.message.BuildIdentity
import java.util.Properties

/** The build of this process, as Maven recorded it in the jar. */
internal object CurrentBuild {
    private const val RESOURCE = "/burlridge-build.properties"
    private const val BYTES_PER_MB = 1024 * 1024

    private val properties =
        Properties().apply { CurrentBuild::class.java.getResourceAsStream(RESOURCE)?.use { load(it) } }

    val identity: BuildIdentity =
        BuildIdentity(
            version = CurrentBuild::class.java.`package`.implementationVersion ?: "development",
            commit = properties.getProperty("git.commit.id.abbrev") ?: BuildIdentity.UNKNOWN,
            isModified = properties.getProperty("git.dirty").toBoolean(),
        )

    /** Time of the commit, in UTC. */
    private val commitTime: String = properties.getProperty("git.commit.time") ?: BuildIdentity.UNKNOWN

    /** What a report about this process must name: its build, the Java runtime and its limits. */
    fun details(): Array<Pair<String, Any?>> =
        arrayOf(
            "version" to identity.version,
            "commit" to identity.commit,
            "modified" to identity.isModified,
            "commitTime" to commitTime,
            "java" to System.getProperty("java.runtime.version"),
            "heapMaxMb" to Runtime.getRuntime().maxMemory() / BYTES_PER_MB,
            "processors" to Runtime.getRuntime().availableProcessors(),
        )
}
