package burlridge.app

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.versionOption
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

private class Burlridge : CoreCliktCommand("burlridge") {
    init {
        versionOption(Burlridge::class.java.`package`.implementationVersion ?: "development")
    }

    override fun help(context: Context) = "A cluster scheduler whose task starts and rentals are claimed intents."

    override fun run() = Unit
}

private class Serve : CoreCliktCommand("serve") {
    private val config by option("--config", help = "the platform's settings, a JSON file").required()
    private val settings by option("--settings", help = "the operators' own settings, an INI file")

    override fun help(context: Context) = "Run a controller until it is killed."

    override fun run() {
        Service(read(config, settings)).run()
    }
}

private class Check : CoreCliktCommand("check") {
    private val config by option("--config", help = "the platform's settings, a JSON file").required()
    private val settings by option("--settings", help = "the operators' own settings, an INI file")

    override fun help(context: Context) = "Read the settings, say what is wrong with them, and stop."

    override fun run() {
        val read = read(config, settings)
        val gangs = if (read.workers.gang == null) "no gangs are served" else "gangs are served once all members know them"
        echo("settings of ${read.member} are fine: ${read.controllers} members; $gangs; at most ${read.store.valueBytes} bytes a value")
    }
}

/** Run once by the build: what it loads goes into the class archive that makes a controller's start cheap. */
private class Rehearse : CoreCliktCommand("rehearse") {
    override val hiddenFromHelp: Boolean = true

    override fun help(context: Context) = "Run a controller against itself on loopback for a moment."

    override fun run() {
        Service(Settings.parse(Rehearsal.settings())).rehearse()
        exitProcess(0)
    }
}

private fun read(
    config: String,
    operator: String?,
): Settings {
    val platform = load(config, Settings::parse)
    return if (operator == null) platform else platform.copy(operator = load(operator, OperatorSettings::parse))
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

private fun fail(line: String): Nothing {
    System.err.println("burlridge: $line")
    exitProcess(2)
}

internal fun main(args: Array<String>) {
    val level = System.getenv("LOG_LEVEL")?.lowercase()?.takeIf { it in setOf("error", "info", "debug") } ?: "info"
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level)
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showLogName", "false")
    Burlridge().subcommands(Serve(), Check(), Rehearse()).main(args)
}
