package burlridge.app

import burlridge.core.logLine
import org.slf4j.LoggerFactory

/** Ends the process after a failure that may have left its state incomplete: restarting is safe, continuing is not. */
internal object FailureExit {
    private const val EXIT_FAILED = 70
    private val log = LoggerFactory.getLogger("burlridge")

    /**
     * Logs [cause] with its stack trace and the build as the last line, after what [logContext] logs, and ends the process at once, without
     * shutdown hooks. Even if no memory is left for the log, the process ends.
     */
    fun end(
        cause: Throwable,
        logContext: () -> Unit = {},
    ): Nothing {
        try {
            logContext()
            log.error(logLine("controller ended", CurrentBuild.details()), cause)
        } finally {
            // A hook that waits for the event loop would wait in vain: this is its thread.
            Runtime.getRuntime().halt(EXIT_FAILED)
        }
        error("the process has ended")
    }
}
