package io.reedmast.model

/** What any controller may know of a machine without owning it: hints, on which no rule depends. */
class MachineFacts(val name: String) {
    /** Where the machine's worker listens; null until some owner has had a heartbeat of it. */
    var addr: String? = null
        set(value) {
            if (value != field) changed = true
            field = value
        }

    /** Images fetched there, least recently used first, with their sizes in GB. */
    val images = LinkedHashMap<String, Double>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Whether something here is yet to be sent to the other controllers. */
    var changed = false

    /**
     * The image is used on the machine: it is the most recently used one now. The least recently used images are
     * dropped as long as all of them need more than [roomGb], as the worker does; 0 if its room is not known.
     */
    fun recordImage(image: String, imageGb: Double, roomGb: Double) {
        if (images.put(image, imageGb) == null) changed = true
        if (roomGb <= 0.0) return
        val oldest = images.entries.iterator()
        var totalGb = images.values.sum()
        while (totalGb > roomGb && images.size > 1 && oldest.hasNext()) {
            totalGb -= oldest.next().value
            oldest.remove()
        }
    }

    /** Replaces what is known by what the machine's owner has sent: nobody else is to be sent it again. */
    fun replace(addr: String, images: List<Pair<String, Double>>) {
        this.addr = addr
        this.images.clear()
        images.forEach { (image, imageGb) -> this.images[image] = imageGb }
        changed = false
    }

    private companion object {
        const val INITIAL_CAPACITY = 8
        const val LOAD_FACTOR = 0.75f
    }
}
