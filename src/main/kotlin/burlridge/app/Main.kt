package burlridge.app

import burlridge.core.logLine
import burlridge.settings.Settings
import org.slf4j.LoggerFactory
import java.io.File
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2
private const val EXIT_REFUSED = 1

/** Prints one line on standard error and exits. */
internal fun fail(reason: String): Nothing {
    System.err.println("burlridge: $reason")
    exitProcess(EXIT_USAGE)
}

private fun reportValidSettings(settings: Settings) {
    val gangs = if (settings.workers.gang == null) "no gangs are served" else "gangs are served once all members know them"
    val value = settings.storeLimits.valueBytes
    println("settings of ${settings.member} are fine: ${settings.controllerCount} members; $gangs; at most $value bytes a value")
}

private fun runAdminCommand(
    files: SettingsFiles,
    request: AdminCommand.() -> String,
) {
    try {
        println(AdminCommand(files.read()).request())
    } catch (e: AdminCommand.Failure) {
        System.err.println("burlridge: ${e.message}")
        exitProcess(EXIT_REFUSED)
    }
}

private fun trainClassArchive() {
    val file = File.createTempFile("burlridge", ".json")
    try {
        ClassArchive.ofThisProcess()?.recordJar()
        file.writeText(ClassArchiveTraining.settings())
        // Goes through the command line of `serve`, so that its classes are in the archive as well.
        val serve = CommandLine.parse(listOf("serve", "--config", file.path)) as CommandLine.Serve
        Service(serve.files.read()).trainClassArchive()
    } finally {
        file.delete()
    }
    exitProcess(0)
}

/** Runs a controller; whatever ends it is logged with the build that ran. */
private fun serve(files: SettingsFiles) {
    val log = LoggerFactory.getLogger("burlridge")
    log.info(logLine("controller starting", CurrentBuild.details()))
    ClassArchive.mismatchOfThisProcess()?.let { log.info("class archive not used reason={}", it) }
    val settings = files.read()
    try {
        Service(settings).run()
    } catch (unexpected: Throwable) {
        // Whatever it is, the event loop has ended.
        FailureExit.end(unexpected)
    }
}

private fun configureLogging() {
    val level = System.getenv("LOG_LEVEL")?.lowercase()?.takeIf { it in setOf("error", "info", "debug") } ?: "info"
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level)
    // Set explicitly, so that the class path is not searched for a provider at every start.
    System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider")
    System.setProperty("slf4j.internal.verbosity", "WARN")
}

/** Entry point; see [HELP]. */
internal fun main(args: Array<String>) {
    configureLogging()
    when (val command = CommandLine.parse(args.toList())) {
        is CommandLine.Serve -> serve(command.files)
        is CommandLine.Status -> runAdminCommand(command.files) { status() }
        is CommandLine.Drain -> runAdminCommand(command.files) { drain(command.member, command.waitSeconds) }
        is CommandLine.DrainMachines -> runAdminCommand(command.files) { drainMachines(command.target, command.forced) }
        is CommandLine.Explain -> runAdminCommand(command.files) { explain(command.subject) }
        is CommandLine.UndrainMachines -> runAdminCommand(command.files) { undrainMachines(command.target) }
        is CommandLine.Check -> reportValidSettings(command.files.read())
        CommandLine.TrainClassArchive -> trainClassArchive()
        CommandLine.Help -> println(HELP)
        CommandLine.Version -> println("burlridge ${CurrentBuild.identity}")
        is CommandLine.Invalid -> fail("${command.reason}; see burlridge --help")
    }
}
