package burlridge.transcript

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.nio.file.Files
import java.nio.file.Path

/**
 * Checks that the controllers behave as recorded: a refactoring changes no digest. If a digest differs, the whole transcript is written to
 * `target/transcripts/`; `mvn test -Dtest=TranscriptTest -Dtranscripts=all` writes all of them, so that those of two versions can be
 * compared.
 */
internal class TranscriptTest {
    private class RecordedDigest(
        val digest: String,
        val lines: Int,
    )

    private val recorded: Map<String, RecordedDigest> =
        resource("digests.txt").lines().filter { it.isNotBlank() }.associate { line ->
            val (name, digest, lines) = line.split(' ')
            name to RecordedDigest(digest, lines.toInt())
        }

    private fun resource(name: String): String = checkNotNull(javaClass.getResource("/transcripts/$name")) { "no $name" }.readText()

    private fun write(
        schedule: TranscriptSchedule,
        transcript: Transcript,
    ) {
        val directory = Files.createDirectories(Path.of("target", "transcripts"))
        Files.writeString(directory.resolve("${schedule.name}.txt"), transcript.text())
        Files.writeString(
            directory.resolve("${schedule.name}.digest"),
            "${schedule.name} ${transcript.digest()} ${transcript.lineCount()}\n",
        )
    }

    @ParameterizedTest
    @MethodSource("schedules")
    fun `a schedule produces the recorded digest`(schedule: TranscriptSchedule) {
        val transcript = schedule.run()
        val expected = recorded[schedule.name]
        val matches = expected?.digest == transcript.digest()
        if (!matches || System.getProperty("transcripts") != null) write(schedule, transcript)
        assertEquals(expected?.lines, transcript.lineCount(), "lines of ${schedule.name}")
        assertEquals(expected?.digest, transcript.digest(), "digest of ${schedule.name}")
    }

    @ParameterizedTest
    @MethodSource("shortSchedules")
    fun `a short schedule produces the recorded transcript`(schedule: TranscriptSchedule) {
        assertEquals(resource("${schedule.name}.txt"), schedule.run().text())
    }

    @Test
    fun `exactly the schedules have recorded digests`() {
        assertEquals(schedules().map { it.name }.toSet(), recorded.keys)
    }

    internal companion object {
        @JvmStatic
        fun schedules(): List<TranscriptSchedule> = TRANSCRIPT_SCHEDULES

        @JvmStatic
        fun shortSchedules(): List<TranscriptSchedule> = TRANSCRIPT_SCHEDULES.filter { it.name.endsWith("-short") }
    }
}
