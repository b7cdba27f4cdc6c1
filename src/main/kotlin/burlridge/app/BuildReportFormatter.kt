package burlridge.app

import burlridge.message.BuildIdentity
import com.fasterxml.jackson.databind.JsonNode

/** Formats the members' builds as text for `burlridge status`; lenient, since the controller may be of another version. */
internal object BuildReportFormatter {
    /** One line for each member, and one that says whether all run the same build. */
    fun describe(report: JsonNode): String {
        val builds = report.path("members").associate { it.path("member").asText("") to buildOf(it) }
        val lines = builds.map { (member, build) -> "$member runs $build" }
        val summary = if (builds.values.toSet().size > 1) "the members run different builds" else "all members run the same build"
        return (lines + summary).joinToString("\n")
    }

    private fun buildOf(member: JsonNode): String {
        val version = member.path("version").asText(BuildIdentity.UNKNOWN)
        if (version == BuildIdentity.UNKNOWN) return version
        return BuildIdentity(version, member.path("commit").asText(BuildIdentity.UNKNOWN), member.path("modified").asBoolean()).toString()
    }
}
