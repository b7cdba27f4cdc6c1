package burlridge.app

import burlridge.core.Effect
import burlridge.core.Input
import burlridge.json.Json
import burlridge.message.BuildIdentity
import burlridge.message.PeerMessage
import burlridge.settings.Settings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File

/** Guards against reports that cannot be traced to sources: two builds were told apart by nothing that the product writes. */
internal class BuildReportTest {
    private val own = BuildIdentity("0.1.0", "0123456789ab", isModified = true)
    private var now = 0.0

    private fun Controller.stepFor(input: Input): List<Effect> = step(input, now++, 0)

    private fun Controller.answer(
        method: String,
        path: String,
        body: String = "",
    ): Effect.Respond = stepFor(Input.Request(1, method, path, "", body)).filterIsInstance<Effect.Respond>().single()

    private fun controller() = Controller(Settings.parse(ClassArchiveTraining.settings().replace("rehearsal", "drover-1")), 1, own)

    private fun status(build: BuildIdentity?) = PeerMessage.Status("drover-1", 0, "", false, false, true, build = build)

    private fun Controller.report(): String = BuildReportFormatter.describe(Json.parse(answer("GET", "/admin/builds").body))

    @Test
    fun `the version is one line with the commit`() {
        assertEquals("0.1.0 (0123456789ab, modified)", own.toString())
        assertEquals("0.1.0 (unknown)", BuildIdentity("0.1.0", BuildIdentity.UNKNOWN).toString())
        assertTrue(
            Regex("""\S+ \(([0-9a-f]{12}|unknown)(, modified)?\)""").matches(CurrentBuild.identity.toString()),
            "${CurrentBuild.identity}",
        )
        assertEquals(
            listOf("version", "commit", "modified", "commitTime", "java", "heapMaxMb", "processors"),
            CurrentBuild.details().map {
                it.first
            },
        )
    }

    @Test
    fun `the report names each member's build and says whether they differ`() {
        val controller = controller()
        assertEquals("drover-0 runs $own\ndrover-1 runs unknown\nthe members run different builds", controller.report())
        controller.stepFor(Input.MessageReceived(status(own)))
        assertEquals("drover-0 runs $own\ndrover-1 runs $own\nall members run the same build", controller.report())
        controller.stepFor(Input.MessageReceived(status(own.copy(isModified = false))))
        assertTrue(controller.report().endsWith("the members run different builds"), controller.report())
        // A member of the version before, which does not tell.
        controller.stepFor(Input.MessageReceived(status(null)))
        assertTrue(controller.report().contains("drover-1 runs unknown\n"), controller.report())
        assertEquals(405, controller.answer("POST", "/admin/builds").status)
    }

    @Test
    fun `a status tells the build as an optional field`() {
        val sent =
            controller()
                .stepFor(
                    Input.Tick,
                ).filterIsInstance<Effect.SendToPeer>()
                .map { it.message }
                .filterIsInstance<PeerMessage.Status>()
        assertEquals(listOf(own), sent.map { it.build })
        assertEquals(sent.single(), PeerMessage.decode(PeerMessage.encode(sent.single())))
        val withoutBuild = PeerMessage.encode(sent.single().copy(build = null))
        assertEquals(null, (PeerMessage.decode(withoutBuild) as PeerMessage.Status).build)
        assertTrue(PeerMessage.encode(sent.single()).size > withoutBuild.size)
    }

    @Test
    fun `users and workers are not told the build`() {
        val controller = controller()
        val answers =
            listOf("GET" to "/ready", "GET" to "/api/jobs/x", "POST" to "/api/jobs", "POST" to "/agent/beat", "GET" to "/")
                .map { (method, path) -> controller.answer(method, path, "{}").body }
        answers.forEach { assertTrue(own.commit !in it && own.version !in it, it) }
    }

    @Test
    fun `a class archive that was recorded from another jar is reported`(
        @TempDir directory: File,
    ) {
        val jar = File(directory, "burlridge.jar").apply { writeText("first") }
        val archive = ClassArchive(jar)
        assertEquals("missing", archive.mismatch())
        File(directory, "burlridge.jsa").writeText("")
        assertEquals("recorded_from_another_jar", archive.mismatch())
        archive.recordJar()
        assertEquals("recorded_from_another_jar", archive.mismatch(), "the build has been cut off")
        File(directory, "burlridge.jsa.jar.new").renameTo(File(directory, "burlridge.jsa.jar"))
        assertEquals(null, archive.mismatch())
        jar.setLastModified(jar.lastModified() - 5_000)
        assertEquals("recorded_from_another_jar", archive.mismatch())
    }
}
