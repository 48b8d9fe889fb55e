package io.reedmast.wire

/** Why a task ended, as far as the difference matters to a controller; [wireName] is the name in messages. */
enum class TaskEndCause(val wireName: String) {
    /** It completed. */
    DONE("done"),

    /** It was stopped by command. */
    HALTED("halted"),

    /** It failed. */
    ERROR("error"),

    /** Its start was refused: the machine does not have enough free resources. */
    NO_ROOM("no_room"),

    /** Its start was refused: another attempt at the task is on this machine. */
    BUSY("busy"),

    /** Its start was refused: there is no such job or task. */
    UNKNOWN("unknown"),

    /** Another task of the gang is gone. */
    PEER_LOST("peers"),

    /** The gang was not complete in time. */
    GANG_TIMED_OUT("alone"),
}
