package io.reedmast.workers

/** What any node may know of a machine without owning it: hints, on which no rule depends. */
class HostFacts(val name: String) {
    var addr: String? = null
        set(value) {
            if (value != field) changed = true
            field = value
        }

    /** Images fetched there, least recently used first, with their sizes. */
    val images = LinkedHashMap<String, Double>(8, 0.75f, true)

    /** Whether the other nodes have not been told yet. */
    var changed = false

    fun noteImage(image: String, imageGb: Double, roomGb: Double) {
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

/** One machine's facts as owners tell each other. */
data class HostNews(val host: String, val addr: String, val images: List<Pair<String, Double>>)

/**
 * Addresses and images of all machines, told by their owners to the other nodes.
 *
 * A node that takes a shard over can so show its token to the workers at once, and place work where its images are.
 */
class HostDirectory {
    private val facts = HashMap<String, HostFacts>()

    fun of(host: String): HostFacts = facts.getOrPut(host) { HostFacts(host) }

    fun forget(host: String) {
        facts.remove(host)
    }

    /** What to tell of [hosts]: what has changed, or [all]. */
    fun news(hosts: Collection<String>, all: Boolean): List<HostNews> {
        val news = ArrayList<HostNews>()
        for (host in hosts) {
            val of = facts[host] ?: continue
            val addr = of.addr ?: continue
            if (!all && !of.changed) continue
            of.changed = false
            news.add(HostNews(host, addr, of.images.entries.map { it.key to it.value }))
        }
        return news
    }

    /** Takes up what an owner tells of machines that are [known] to belong to some shard. */
    fun heard(news: List<HostNews>, known: (String) -> Boolean) {
        for (of in news) {
            if (!known(of.host)) continue
            val mine = of(of.host)
            mine.addr = of.addr
            mine.images.clear()
            of.images.forEach { (image, imageGb) -> mine.images[image] = imageGb }
            mine.changed = false
        }
    }
}
