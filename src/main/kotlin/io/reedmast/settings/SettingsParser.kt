package io.reedmast.settings

import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.amount
import io.reedmast.wire.count
import io.reedmast.wire.map
import io.reedmast.wire.maps
import io.reedmast.wire.optionalAmount
import io.reedmast.wire.text
import java.net.InetSocketAddress

/**
 * Parses [Settings] section by section. The order of the sections must stay as it is: only the first field that cannot
 * be used is reported. Unknown fields are ignored.
 */
internal class SettingsParser(private val root: Fields) {
    /** Parses the settings; throws [SettingsException] for the first field that cannot be used. */
    fun parse(): Settings {
        val label = label()
        val apiAddress = at("") { address("front", root.text("front")) }
        val clusterAddress = at("") { address("cluster_listen", root.text("cluster_listen")) }
        val members = members(Member(label, clusterAddress))
        val outsideSection = at("") { root.map("outside") }
        val factsSection = at("") { root.map("facts") }
        requireControllerCount(factsSection, members.size)
        val workers = workerRules(factsSection)
        val store = storeSection(factsSection)
        return Settings(
            label = label,
            apiAddress = apiAddress,
            clusterAddress = clusterAddress,
            members = members,
            controllerId = ControllerId(members.indexOfFirst { it.label == label }),
            workers = workers,
            storeLimits = store.limits,
            nextStoreLimits = store.nextLimits,
            cloudLimits = cloudLimits(factsSection),
            maxConnections = maxConnections(factsSection),
            cloudAddress = outsideAddress(outsideSection, "cloud"),
            storeAddress = outsideAddress(outsideSection, "state"),
            zones = zones(factsSection),
            teams = teams(factsSection),
            objectives = objectives(factsSection),
        )
    }

    private fun label(): String {
        val label = at("") { root.text("label") }
        if (label.isEmpty()) throw SettingsException("label is empty")
        return label
    }

    /** This controller and the others, sorted by label. */
    private fun members(self: Member): List<Member> {
        val seeds = if (root["seeds"] == null) emptyList() else at("") { root.maps("seeds") }
        val others = seeds.mapIndexed { i, seed -> at("seeds[$i].") { member(seed) } }
        val members = (others + self).sortedBy { it.label }
        requireDistinct(members.map { it.label }, "label and seeds contain the same label twice")
        return members
    }

    private fun member(seed: Fields) = Member(seed.text("label"), address("endpoint", seed.text("endpoint")))

    private fun requireControllerCount(factsSection: Fields, memberCount: Int) {
        val nodes = at("facts.") { factsSection.count("nodes") }
        if (nodes != memberCount.toLong()) {
            throw SettingsException("facts.nodes is $nodes, but label and seeds list $memberCount nodes")
        }
    }

    private fun workerRules(factsSection: Fields): WorkerRules {
        val workers = at("facts.") { factsSection.map("workers") }
        val rules = at("facts.workers.") {
            WorkerRules(
                heartbeatIntervalS = positive(workers, "report_s"),
                leaseS = positive(workers, "lease_s"),
                cancelDeadlineS = positive(workers, "cancel_s"),
                gangTimeoutS = workers.optionalAmount("gang_wait_s") ?: WorkerRules.DEFAULT_GANG_TIMEOUT_S,
                peerLossDetectionS = workers.optionalAmount("gang_peer_s") ?: WorkerRules.DEFAULT_PEER_LOSS_DETECTION_S,
            )
        }
        if (rules.cancelDeadlineS <= rules.leaseS) {
            throw SettingsException("facts.workers.cancel_s must be above facts.workers.lease_s")
        }
        return rules
    }

    private class StoreSection(val limits: StoreLimits, val nextLimits: StoreLimits?)

    private fun storeSection(factsSection: Fields): StoreSection {
        val store = at("facts.") { factsSection.map("state") }
        val limits = storeLimits(store)
        val nextLimits = nextStoreLimits(store, limits)
        if (limits.writesPerTransaction < MIN_WRITES_PER_TRANSACTION) {
            throw SettingsException("facts.state.txn_ops must be at least $MIN_WRITES_PER_TRANSACTION")
        }
        return StoreSection(limits, nextLimits)
    }

    private fun storeLimits(store: Fields): StoreLimits = at("facts.state.") {
        StoreLimits(
            requestsPerS = positive(store, "rps"),
            writesPerS = positive(store, "write_rps"),
            valueBytes = bytes(positive(store, "value_kb")),
            writesPerTransaction = positive(store, "txn_ops").toInt(),
        )
    }

    /** The limits that are announced for later; a limit that is not given keeps its current value. */
    private fun nextStoreLimits(store: Fields, current: StoreLimits): StoreLimits? {
        if (store["next"] == null) return null
        val next = at("facts.state.next: ") { store.map("next") }
        return at("facts.state.next.") {
            StoreLimits(
                requestsPerS = optionalPositive(next, "rps") ?: current.requestsPerS,
                writesPerS = optionalPositive(next, "write_rps") ?: current.writesPerS,
                valueBytes = optionalPositive(next, "value_kb")?.let { bytes(it) } ?: current.valueBytes,
                writesPerTransaction = optionalPositive(next, "txn_ops")?.toInt() ?: current.writesPerTransaction,
            )
        }
    }

    private fun bytes(kibibytes: Double): Int = (kibibytes * BYTES_PER_KIBIBYTE).toInt()

    private fun cloudLimits(factsSection: Fields): CloudLimits {
        val cloud = at("facts.") { factsSection.map("cloud") }
        return at("facts.cloud.") { CloudLimits(positive(cloud, "rps"), cloud.amount("list_lag_s")) }
    }

    private fun maxConnections(factsSection: Fields): Int {
        if (factsSection["resources"] == null) return DEFAULT_MAX_CONNECTIONS
        val resources = at("facts.") { factsSection.map("resources") }
        return at("facts.resources.") { resources.optionalAmount("max_connections") }?.toInt()
            ?: DEFAULT_MAX_CONNECTIONS
    }

    private fun outsideAddress(outside: Fields, name: String): String = at("outside.") {
        outside.text(name).also { address(name, it) }
    }

    private fun zones(factsSection: Fields): List<String> = at("facts.") {
        val zones = factsSection["zones"] as? List<*> ?: throw MalformedException("zones is missing or not a list")
        zones.map { it as? String ?: throw MalformedException("zones contains a value that is not text") }
    }

    private fun teams(factsSection: Fields): List<TeamShare> {
        val sections = at("facts.") { factsSection.maps("teams") }
        if (sections.isEmpty()) throw SettingsException("facts.teams is empty")
        val teams = sections.mapIndexed { i, section -> at("facts.teams[$i].") { team(section) } }
        requireDistinct(teams.map { it.name }, "facts.teams contains the same name twice")
        return teams
    }

    private fun team(section: Fields) = TeamShare(
        name = section.text("name"),
        cpus = section.amount("cpus"),
        maxCpus = section.optionalAmount("cpus_max") ?: 0.0,
        gpus = section.optionalAmount("gpus") ?: 0.0,
        maxGpus = section.optionalAmount("gpus_max") ?: 0.0,
    )

    private fun objectives(factsSection: Fields): List<Objective> {
        if (factsSection["objectives"] == null) return emptyList()
        val sections = at("facts.") { factsSection.maps("objectives") }
        return sections.mapIndexed { i, section -> at("facts.objectives[$i].") { objective(section) } }
    }

    private fun objective(section: Fields) = Objective(
        kind = section.text("kind"),
        jobClass = section["class"] as? String,
        withinS = section.optionalAmount("within_s"),
    )

    private fun requireDistinct(names: List<String>, message: String) {
        if (names.toSet().size != names.size) throw SettingsException(message)
    }

    private fun positive(fields: Fields, name: String): Double {
        val value = fields.amount(name)
        if (value <= 0.0) throw MalformedException("$name must be above 0")
        return value
    }

    private fun optionalPositive(fields: Fields, name: String): Double? =
        if (fields[name] == null) null else positive(fields, name)

    private fun address(name: String, text: String): InetSocketAddress {
        val ipAddress = text.substringBeforeLast(':', missingDelimiterValue = "")
        val port = text.substringAfterLast(':', missingDelimiterValue = "").toIntOrNull()
        // Only numeric IP addresses: a host name would need a DNS lookup, and there may be no DNS server to answer it.
        if (port == null || port !in 1..MAX_PORT || !ipAddress.matches(IP_ADDRESS)) {
            throw MalformedException("$name is not an address of the form 10.0.0.1:8080: $text")
        }
        return try {
            InetSocketAddress(ipAddress, port)
        } catch (e: IllegalArgumentException) {
            throw MalformedException("$name is not an address: ${e.message}", e)
        }
    }

    /** Calls [read]; throws a [SettingsException] that names a malformed field by its path: [prefix] and the name. */
    private inline fun <T> at(prefix: String, read: () -> T): T = try {
        read()
    } catch (e: MalformedException) {
        throw SettingsException(prefix + e.message, e)
    }

    private companion object {
        const val BYTES_PER_KIBIBYTE = 1024

        const val MIN_WRITES_PER_TRANSACTION = 4
        const val DEFAULT_MAX_CONNECTIONS = 1_000
        const val MAX_PORT = 65_535
        val IP_ADDRESS = Regex("[0-9]{1,3}(\\.[0-9]{1,3}){3}")
    }
}
