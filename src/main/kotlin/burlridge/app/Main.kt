package burlridge.app

import burlridge.core.OperatorSettings
import burlridge.core.Settings
import burlridge.core.SettingsError
import org.apache.commons.cli.DefaultParser
import org.apache.commons.cli.Option
import org.apache.commons.cli.Options
import org.apache.commons.cli.ParseException
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess
import org.apache.commons.cli.CommandLine as ParsedOptions

private const val STATUS_USAGE = 2
private const val STATUS_REFUSED = 1

private const val HELP = """Usage: burlridge <command> [<options>]
       burlridge --help | --version

  A cluster scheduler whose task starts and rentals are claimed intents.

Commands:
  serve   Run a controller until it is killed.
  check   Read the settings, say what is wrong with them, and stop.
  status  Ask the controller that runs with these settings who leads, who is suspected and why.
  drain   Take that controller, or another member, out of service in order.

Options of all commands:
  --config FILE     the platform's settings, a JSON file (required)
  --settings FILE   the operators' own settings, an INI file

Options of drain:
  --member NAME     another member to drain, through the controller that runs here
  --wait SECONDS    how long to wait until it is drained (30)

  -h, --help        show this message and exit"""

/** What the command line asks for. */
internal sealed interface CommandLine {
    data class Serve(
        val files: SettingsFiles,
    ) : CommandLine

    data class Check(
        val files: SettingsFiles,
    ) : CommandLine

    data class Status(
        val files: SettingsFiles,
    ) : CommandLine

    data class Drain(
        val files: SettingsFiles,
        val member: String?,
        val waitS: Long,
    ) : CommandLine

    /** Run once by the build: what it loads goes into the class archive that makes a controller's start cheap. */
    data object Rehearse : CommandLine

    data object Help : CommandLine

    data object Version : CommandLine

    /** A line that cannot be understood, with the reason. */
    data class Mistaken(
        val reason: String,
    ) : CommandLine

    companion object {
        private const val CONFIG = "config"
        private const val SETTINGS = "settings"
        private const val HELP_OPTION = "help"
        private const val MEMBER = "member"
        private const val WAIT = "wait"
        private const val USUAL_WAIT = "30"
        private val WAITS = 0L..3600L

        fun parse(args: List<String>): CommandLine =
            when (val command = args.firstOrNull()) {
                null -> Mistaken("a command is missing")
                "--help", "-h" -> Help
                "--version" -> Version
                "serve" -> withFiles(args.drop(1), options()) { files, _ -> Serve(files) }
                "check" -> withFiles(args.drop(1), options()) { files, _ -> Check(files) }
                "status" -> withFiles(args.drop(1), options()) { files, _ -> Status(files) }
                "drain" -> withFiles(args.drop(1), drainOptions(), ::drain)
                "rehearse" -> if (args.size == 1) Rehearse else Mistaken("rehearse takes no arguments")
                else -> Mistaken("no such command: $command")
            }

        private fun withFiles(
            args: List<String>,
            options: Options,
            command: (SettingsFiles, ParsedOptions) -> CommandLine,
        ): CommandLine {
            val line =
                try {
                    DefaultParser(false).parse(options, args.toTypedArray())
                } catch (e: ParseException) {
                    return Mistaken(e.message.orEmpty())
                }
            if (line.hasOption(HELP_OPTION)) return Help
            line.argList.firstOrNull()?.let { return Mistaken("unexpected argument: $it") }
            val config = line.getOptionValue(CONFIG) ?: return Mistaken("--$CONFIG is missing")
            return command(SettingsFiles(config, line.getOptionValue(SETTINGS)), line)
        }

        private fun drain(
            files: SettingsFiles,
            line: ParsedOptions,
        ): CommandLine {
            val wait = line.getOptionValue(WAIT, USUAL_WAIT)
            val waitS = wait.toLongOrNull()?.takeIf { it in WAITS } ?: return Mistaken("--$WAIT must be whole seconds in $WAITS, not $wait")
            return Drain(files, line.getOptionValue(MEMBER), waitS)
        }

        private fun drainOptions(): Options =
            options()
                .addOption(Option(null, MEMBER, true, "another member to drain"))
                .addOption(Option(null, WAIT, true, "seconds to wait"))

        private fun options(): Options =
            Options()
                .addOption(Option(null, CONFIG, true, "the platform's settings"))
                .addOption(Option(null, SETTINGS, true, "the operators' own settings"))
                .addOption(Option("h", HELP_OPTION, false, "show the usage"))
    }
}

/** Where the settings are: the platform's JSON file and, if there is one, the operators' INI file. */
internal data class SettingsFiles(
    val platform: String,
    val operator: String?,
) {
    /** Ends the process with one clear line where a file cannot be used. */
    fun read(): Settings {
        val settings = load(platform, Settings::parse)
        return if (operator == null) settings else settings.copy(operator = load(operator, OperatorSettings::parse))
    }

    private fun <T> load(
        file: String,
        parse: (String) -> T,
    ): T =
        try {
            parse(File(file).readText())
        } catch (e: SettingsError) {
            fail("$file: ${e.message}")
        } catch (e: IOException) {
            fail("$file cannot be read: ${e.message}")
        }
}

private fun fail(reason: String): Nothing {
    System.err.println("burlridge: $reason")
    exitProcess(STATUS_USAGE)
}

private fun check(settings: Settings) {
    val gangs = if (settings.workers.gang == null) "no gangs are served" else "gangs are served once all members know them"
    val value = settings.store.valueBytes
    println("settings of ${settings.member} are fine: ${settings.controllers} members; $gangs; at most $value bytes a value")
}

private fun administer(
    files: SettingsFiles,
    request: AdminCommand.() -> String,
) {
    try {
        println(AdminCommand(files.read()).request())
    } catch (e: AdminCommand.Failure) {
        System.err.println("burlridge: ${e.message}")
        exitProcess(STATUS_REFUSED)
    }
}

private fun rehearse() {
    val file = File.createTempFile("burlridge", ".json")
    try {
        file.writeText(Rehearsal.settings())
        // By the way of `serve`, so that its classes are in the archive as well.
        val serve = CommandLine.parse(listOf("serve", "--config", file.path)) as CommandLine.Serve
        Service(serve.files.read()).rehearse()
    } finally {
        file.delete()
    }
    exitProcess(0)
}

private fun configureLogging() {
    val level = System.getenv("LOG_LEVEL")?.lowercase()?.takeIf { it in setOf("error", "info", "debug") } ?: "info"
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level)
    // Named here, so that the class path is not searched for one; what it says about that is no news.
    System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider")
    System.setProperty("slf4j.internal.verbosity", "WARN")
}

internal fun main(args: Array<String>) {
    configureLogging()
    when (val command = CommandLine.parse(args.toList())) {
        is CommandLine.Serve -> Service(command.files.read()).run()
        is CommandLine.Status -> administer(command.files) { status() }
        is CommandLine.Drain -> administer(command.files) { drain(command.member, command.waitS) }
        is CommandLine.Check -> check(command.files.read())
        CommandLine.Rehearse -> rehearse()
        CommandLine.Help -> println(HELP)
        CommandLine.Version -> println("burlridge version ${CommandLine::class.java.`package`.implementationVersion ?: "development"}")
        is CommandLine.Mistaken -> fail("${command.reason}; see burlridge --help")
    }
}
