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
    val requested = System.getenv("LOG_LEVEL")
    val level = requested?.lowercase()?.takeIf { it in setOf("error", "warn", "info", "debug") }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level ?: "info")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS")
    if (requested != null && level == null) {
        LoggerFactory.getLogger("main").warn("unknown LOG_LEVEL {}; using info", requested)
    }
}

/** The entry point: connects the command line to the controller process and the store that its commands need. */
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

/** Needed because the core of Clikt neither exits by itself nor chooses between standard output and error. */
private fun print(text: String?, isError: Boolean) {
    if (text != null) (if (isError) System.err else System.out).println(text)
}
