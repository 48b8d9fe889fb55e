package io.reedmast.placement

/** How long a job has been left waiting, and so which rules may still keep its next task off a machine. */
enum class Urgency {
    NORMAL,

    /** Past its deadline: neither the price of a machine nor the headroom of services keeps it waiting. */
    LATE,

    /** Got nothing for long: as [LATE], and it goes back to machines where it failed and to reserved ones, too. */
    STARVING,
    ;

    /** Whether the price of machines and the headroom of services are ignored. */
    val ignoresCostAndHeadroom: Boolean get() = this != NORMAL

    /** Whether earlier failures on a machine and reservations for gangs are ignored. */
    val ignoresFailuresAndReservations: Boolean get() = this == STARVING
}
