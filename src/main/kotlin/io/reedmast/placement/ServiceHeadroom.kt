package io.reedmast.placement

/**
 * Free CPUs of machines that run services, and how many of them other work leaves to the services that arrive next.
 *
 * Without it, arrays fill such machines completely, each new service takes whatever machine a task has just ended on,
 * and at the end of the arrays there is a machine to be paid for under every single service.
 */
class ServiceHeadroom(private var freeCpus: Double, private val reservedCpus: Double) {
    /** Whether the reserved CPUs stay free if [cpus] more are used. */
    fun canAllocate(cpus: Double): Boolean = freeCpus - cpus >= reservedCpus

    /** Records that [cpus] more are used on machines that run services. */
    fun allocate(cpus: Double) {
        freeCpus -= cpus
    }
}
