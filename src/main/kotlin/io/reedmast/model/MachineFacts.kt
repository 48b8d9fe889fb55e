package io.reedmast.model

/** What any controller may know of a machine without owning it: hints, on which no rule depends. */
class MachineFacts(val name: String) {
    var addr: String? = null
        set(value) {
            if (value != field) changed = true
            field = value
        }

    /** Images fetched there, least recently used first, with their sizes. */
    val images = LinkedHashMap<String, Double>(8, 0.75f, true)

    /** Whether the other controllers have not been told yet. */
    var changed = false

    fun recordImage(image: String, imageGb: Double, roomGb: Double) {
        if (images.put(image, imageGb) == null) changed = true
        if (roomGb <= 0.0) return
        val oldest = images.entries.iterator()
        var total = images.values.sum()
        while (total > roomGb && images.size > 1 && oldest.hasNext()) {
            total -= oldest.next().value
            oldest.remove()
        }
    }
}
