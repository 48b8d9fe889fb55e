package io.reedmast.wire

/** Request and response bodies of the cloud. */
object CloudMessages {
    private const val NO_CAPACITY = "no capacity"

    /** A request to rent [count] machines; the cloud executes requests of one [requestName] only once. */
    fun rentalRequest(requestName: String, typeName: String, zone: String, spot: Boolean, count: Int): Fields =
        mapOf("charter" to requestName, "build" to typeName, "yard" to zone, "driftwood" to spot, "count" to count)

    /** The names of the machines in the answer to a rental request. */
    fun rentedMachines(body: Fields): List<String> = body.optionalTexts("hosts").orEmpty()

    /** Whether a refusal means that there are no such machines, rather than that the cloud has an outage. */
    fun isOutOfCapacity(body: Fields): Boolean = body["error"] == NO_CAPACITY

    /** A request to return machines. */
    fun returnRequest(machineNames: List<String>): Fields = mapOf("hosts" to machineNames)

    /** One page of the machine list. */
    fun listedMachines(body: Fields): List<ListedMachine> = body.maps("hosts").map { ListedMachine.parse(it) }

    /** Whether another page of the machine list follows. */
    fun hasMore(body: Fields): Boolean = body.flag("more")
}
