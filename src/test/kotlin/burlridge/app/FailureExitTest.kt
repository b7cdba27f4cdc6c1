package burlridge.app

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File
import java.util.concurrent.TimeUnit

/** Ends as a controller does whose step has thrown; run in a process of its own by [FailureExitTest]. */
internal object FailingProcess {
    @JvmStatic
    fun main(args: Array<String>) {
        Runtime.getRuntime().addShutdownHook(Thread { Thread.sleep(TimeUnit.HOURS.toMillis(1)) })
        FailureExit.end(NoClassDefFoundError("planted by ${args.single()}")) { throw OutOfMemoryError("while logging") }
    }
}

/** Guards against a controller that stays up after an error that is no exception, or that waits for its own shutdown hooks. */
internal class FailureExitTest {
    @Test
    fun `a failure ends the process at once with status 70, even if it cannot be logged`() {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val process = ProcessBuilder(java, "-cp", System.getProperty("java.class.path"), "burlridge.app.FailingProcess", "test").start()
        assertTrue(process.waitFor(60, TimeUnit.SECONDS), "the process waits for its hooks")
        assertEquals(70, process.exitValue())
    }
}
