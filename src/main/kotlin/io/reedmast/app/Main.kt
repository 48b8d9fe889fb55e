package io.reedmast.app

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import io.reedmast.cli.ExitCodes
import io.reedmast.cli.Reedmast
import io.reedmast.cli.RolloutCommand
import org.slf4j.LoggerFactory
import kotlin.system.exitProcess

private fun configureLogging() {
    val asked = System.getenv("LOG_LEVEL")
    val level = asked?.lowercase()?.takeIf { it in setOf("error", "warn", "info", "debug") }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level ?: "info")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS")
    if (asked != null && level == null) {
        LoggerFactory.getLogger("main").warn("LOG_LEVEL {} is unknown; info is used", asked)
    }
}

/** The program: joins the command line to the process and the store that its commands need. */
fun main(args: Array<String>) {
    configureLogging()
    val command = Reedmast { ControllerProcess(it).run() }.subcommands(RolloutCommand(::DirectStore))
    try {
        command.parse(args)
    } catch (e: UsageError) {
        print(command.getFormattedHelp(e), e.printError)
        exitProcess(ExitCodes.USAGE)
    } catch (e: CliktError) {
        print(command.getFormattedHelp(e), e.printError)
        exitProcess(e.statusCode)
    }
}

/** The core of Clikt neither exits nor tells its two streams apart by itself. */
private fun print(text: String?, isError: Boolean) {
    if (text != null) (if (isError) System.err else System.out).println(text)
}
