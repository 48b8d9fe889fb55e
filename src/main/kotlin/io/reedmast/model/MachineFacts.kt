package io.reedmast.model

/** What a controller may know of a machine without owning its shard: only hints, on which no protocol rule depends. */
class MachineFacts(val name: String) {
    /** The address of the machine's worker; null until some owner has received a heartbeat from it. */
    var addr: String? = null
        set(value) {
            if (value != field) hasUnsentChanges = true
            field = value
        }

    /** Images cached on the machine, least recently used first, with their sizes in GB. */
    val images = LinkedHashMap<String, Double>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Whether there are changes that have not been sent to the other controllers. */
    var hasUnsentChanges = false

    /**
     * Records that the image is used on the machine, which makes it the most recently used one. As the worker does, the
     * least recently used images are evicted while all of them together exceed [cacheGb]; 0 if that is not known.
     */
    fun recordImage(image: String, imageGb: Double, cacheGb: Double) {
        if (images.put(image, imageGb) == null) hasUnsentChanges = true
        if (cacheGb <= 0.0) return
        val oldest = images.entries.iterator()
        var totalGb = images.values.sum()
        while (totalGb > cacheGb && images.size > 1 && oldest.hasNext()) {
            totalGb -= oldest.next().value
            oldest.remove()
        }
    }

    /**
     * Replaces the facts by those that the owner of the machine's shard has sent, which this controller does not
     * forward.
     */
    fun replace(addr: String, images: List<Pair<String, Double>>) {
        this.addr = addr
        this.images.clear()
        images.forEach { (image, imageGb) -> this.images[image] = imageGb }
        hasUnsentChanges = false
    }

    private companion object {
        const val INITIAL_CAPACITY = 8
        const val LOAD_FACTOR = 0.75f
    }
}
