package burlridge.message

import kotlinx.serialization.Serializable

/** The build that a process runs: what it takes to find its sources. The order of the properties is the wire format. */
@Serializable
internal data class BuildIdentity(
    /** The version of the release, as in `0.1.0`. */
    val version: String,
    /** Abbreviated commit of the sources; [UNKNOWN] if they were built without their history. */
    val commit: String,
    /** Whether files of that commit had been changed when it was built. */
    val isModified: Boolean = false,
) {
    override fun toString(): String = "$version ($commit${if (isModified) ", modified" else ""})"

    internal companion object {
        const val UNKNOWN: String = "unknown"
    }
}
