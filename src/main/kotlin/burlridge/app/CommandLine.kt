package burlridge.app

import org.apache.commons.cli.DefaultParser
import org.apache.commons.cli.Option
import org.apache.commons.cli.Options
import org.apache.commons.cli.ParseException
import org.apache.commons.cli.CommandLine as ParsedOptions

internal const val HELP = """Usage: burlridge <command> [<options>]
       burlridge --help | --version

  A cluster scheduler whose task starts and rentals are claimed intents.

Commands:
  serve   Run a controller until it is killed.
  check   Read the settings, say what is wrong with them, and stop.
  status  Ask the controller that runs with these settings who leads, who is suspected and why,
          and how far drains of machines have come.
  drain   Take that controller, another member, or machines out of service in order.
  undrain Call a drain of machines off: what has not moved stays.
  explain Say why a task was moved or placed as it was, or why a machine gets nothing new.

Options of all commands:
  --config FILE     the platform's settings, a JSON file (required)
  --settings FILE   the operators' own settings, an INI file

Options of drain:
  --member NAME     another member to drain, through the controller that runs here
  --wait SECONDS    how long to wait until it is drained (30)

Options of drain and undrain, one of:
  --machine NAME    a machine
  --network RANGE   all machines in a range of addresses, as 10.1.0.0/24 or 2001:db8::/48
  --zone ZONE       all machines of a zone
Options of explain, one of:
  --task NAME       a task, as j-000412/3
  --machine NAME    a machine
Further option of drain with one of these:
  --force           also the last machine that can hold somebody's tasks

  -h, --help        show this message and exit"""

/** The machines that an operator selects: one machine, a network or a zone. */
internal data class MachineTarget(
    val kind: String,
    val value: String,
)

/** A parsed command line. */
internal sealed interface CommandLine {
    /** Run a controller. */
    data class Serve(
        val files: SettingsFiles,
    ) : CommandLine

    /** Validate the settings files. */
    data class Check(
        val files: SettingsFiles,
    ) : CommandLine

    /** Print the state of a running controller. */
    data class Status(
        val files: SettingsFiles,
    ) : CommandLine

    /** Take a controller out of service; [member] is null for the controller that receives the request. */
    data class Drain(
        val files: SettingsFiles,
        val member: String?,
        val waitSeconds: Long,
    ) : CommandLine

    /** Take machines out of service. */
    data class DrainMachines(
        val files: SettingsFiles,
        val target: MachineTarget,
        val forced: Boolean,
    ) : CommandLine

    /** Cancel a drain of machines. */
    data class UndrainMachines(
        val files: SettingsFiles,
        val target: MachineTarget,
    ) : CommandLine

    /** Print the decisions about a task or machine, with their reasons. */
    data class Explain(
        val files: SettingsFiles,
        val subject: String,
    ) : CommandLine

    /** Run once by the build: the classes that it loads go into the class data archive, which shortens the start of a controller. */
    data object TrainClassArchive : CommandLine

    /** Print the usage. */
    data object Help : CommandLine

    /** Print the version. */
    data object Version : CommandLine

    /** An invalid command line, with the reason. */
    data class Invalid(
        val reason: String,
    ) : CommandLine

    companion object {
        private const val CONFIG = "config"
        private const val SETTINGS = "settings"
        private const val HELP_OPTION = "help"
        private const val MEMBER = "member"
        private const val WAIT = "wait"
        private const val FORCE = "force"
        private val TARGET_KINDS = listOf("machine", "network", "zone")
        private val SUBJECT_KINDS = listOf("task", "machine")
        private val SUBJECT = Regex("[A-Za-z0-9._/-]{1,200}")
        private const val DEFAULT_WAIT_SECONDS = "30"
        private val WAIT_SECONDS_RANGE = 0L..3600L

        /** Parses [args]; returns [Invalid] if they are not a valid command line. */
        fun parse(args: List<String>): CommandLine =
            when (val command = args.firstOrNull()) {
                null -> Invalid("a command is missing")
                "--help", "-h" -> Help
                "--version" -> Version
                "serve" -> withFiles(args.drop(1), options()) { files, _ -> Serve(files) }
                "check" -> withFiles(args.drop(1), options()) { files, _ -> Check(files) }
                "status" -> withFiles(args.drop(1), options()) { files, _ -> Status(files) }
                "drain" -> withFiles(args.drop(1), drainOptions(), ::drain)
                "undrain" -> withFiles(args.drop(1), targetOptions(), ::undrain)
                "explain" -> withFiles(args.drop(1), explainOptions(), ::explain)
                "rehearse" -> if (args.size == 1) TrainClassArchive else Invalid("rehearse takes no arguments")
                else -> Invalid("no such command: $command")
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
                    return Invalid(e.message.orEmpty())
                }
            if (line.hasOption(HELP_OPTION)) return Help
            line.argList.firstOrNull()?.let { return Invalid("unexpected argument: $it") }
            val config = line.getOptionValue(CONFIG) ?: return Invalid("--$CONFIG is missing")
            return command(SettingsFiles(config, line.getOptionValue(SETTINGS)), line)
        }

        private fun drain(
            files: SettingsFiles,
            line: ParsedOptions,
        ): CommandLine {
            val targets = targets(line)
            if (targets.size + (if (line.hasOption(MEMBER)) 1 else 0) > 1) return Invalid("name one of --$MEMBER, ${targetOptionNames()}")
            targets.firstOrNull()?.let { return DrainMachines(files, it, line.hasOption(FORCE)) }
            if (line.hasOption(FORCE)) return Invalid("--$FORCE goes with one of ${targetOptionNames()}")
            val wait = line.getOptionValue(WAIT, DEFAULT_WAIT_SECONDS)
            val waitSeconds =
                wait.toLongOrNull()?.takeIf { it in WAIT_SECONDS_RANGE }
                    ?: return Invalid("--$WAIT must be whole seconds in $WAIT_SECONDS_RANGE, not $wait")
            return Drain(files, line.getOptionValue(MEMBER), waitSeconds)
        }

        private fun undrain(
            files: SettingsFiles,
            line: ParsedOptions,
        ): CommandLine = targets(line).singleOrNull()?.let { UndrainMachines(files, it) } ?: Invalid("name one of ${targetOptionNames()}")

        private fun explain(
            files: SettingsFiles,
            line: ParsedOptions,
        ): CommandLine {
            val subject = SUBJECT_KINDS.mapNotNull { line.getOptionValue(it) }.singleOrNull()
            if (subject == null || !SUBJECT.matches(subject)) return Invalid("name one of --task, --machine")
            return Explain(files, subject)
        }

        private fun explainOptions(): Options =
            options().also { all -> SUBJECT_KINDS.forEach { all.addOption(Option(null, it, true, "the $it to explain")) } }

        private fun targets(line: ParsedOptions): List<MachineTarget> =
            TARGET_KINDS.mapNotNull { kind -> line.getOptionValue(kind)?.let { MachineTarget(kind, it) } }

        private fun targetOptionNames(): String = TARGET_KINDS.joinToString { "--$it" }

        private fun targetOptions(): Options =
            options().also { all -> TARGET_KINDS.forEach { all.addOption(Option(null, it, true, "the $it to drain")) } }

        private fun drainOptions(): Options =
            targetOptions()
                .addOption(Option(null, FORCE, false, "also the last machine"))
                .addOption(Option(null, MEMBER, true, "another member to drain"))
                .addOption(Option(null, WAIT, true, "seconds to wait"))

        private fun options(): Options =
            Options()
                .addOption(Option(null, CONFIG, true, "the platform's settings"))
                .addOption(Option(null, SETTINGS, true, "the operators' own settings"))
                .addOption(Option("h", HELP_OPTION, false, "show the usage"))
    }
}
