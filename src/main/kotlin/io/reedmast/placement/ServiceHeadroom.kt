package io.reedmast.placement

/**
 * The free CPUs of machines that run services, of which other work leaves [reservedCpus] to the services that arrive
 * next.
 *
 * Without this headroom, arrays fill such machines completely, and each new service is placed on whichever machine a
 * task has just ended on. Once the arrays have ended, every single service then occupies a machine of its own that has
 * to be paid for.
 */
class ServiceHeadroom(private var freeCpus: Double, private val reservedCpus: Double) {
    /** Whether the reserved CPUs stay free if [cpus] more are used. */
    fun canAllocate(cpus: Double): Boolean = freeCpus - cpus >= reservedCpus

    /** Records that [cpus] more are used on machines that run services. */
    fun allocate(cpus: Double) {
        freeCpus -= cpus
    }
}
