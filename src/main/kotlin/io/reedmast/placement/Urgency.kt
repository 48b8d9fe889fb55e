package io.reedmast.placement

/** How urgently a job needs a machine, which decides which rules may still keep its next task off a machine. */
enum class Urgency {
    NORMAL,

    /** Past its deadline: neither the price of a machine nor the headroom for services keeps it waiting. */
    LATE,

    /**
     * Has had no machine for long, or as a service has long lacked replicas. As [LATE], and it may also use machines
     * where it failed and machines that are reserved for gangs.
     */
    STARVING,
    ;

    /** Whether the price of machines and the headroom for services are ignored. */
    val ignoresCostAndHeadroom: Boolean get() = this != NORMAL

    /** Whether earlier failures on a machine and reservations for gangs are ignored. */
    val ignoresFailuresAndReservations: Boolean get() = this == STARVING
}
