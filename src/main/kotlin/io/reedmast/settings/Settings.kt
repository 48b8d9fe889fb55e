package io.reedmast.settings

import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Tree
import io.reedmast.wire.amount
import io.reedmast.wire.count
import io.reedmast.wire.map
import io.reedmast.wire.maps
import io.reedmast.wire.optionalAmount
import io.reedmast.wire.text
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.file.Files
import java.nio.file.Path

/** The settings cannot be used; the message names the field. */
class SettingsException(message: String) : Exception(message)

/** Names of teams, zones, controllers and shards are dense indices from here on. */
@JvmInline
value class TeamId(val value: Int)

@JvmInline
value class ZoneIndex(val value: Int)

@JvmInline
value class ControllerId(val value: Int)

@JvmInline
value class ShardId(val value: Int)

/** [maxCpus] and [maxGpus] are limits on what runs at any time; 0 means none. */
data class TeamShare(val name: String, val cpus: Double, val maxCpus: Double, val gpus: Double, val maxGpus: Double)

data class Member(val label: String, val address: InetSocketAddress)

/**
 * [gangWaitS]: how long a task waits for the rest of its gang. [gangPeerS]: how soon the tasks of a gang notice that
 * one is gone.
 */
data class WorkerRules(
    val reportS: Double,
    val leaseS: Double,
    val cancelS: Double,
    val gangWaitS: Double = 50.0,
    val gangPeerS: Double = 5.0,
)

/**
 * What the store accepts, from all controllers together: requests and writes a second, bytes of one value and writes of
 * one transaction.
 */
data class StoreLimits(val requestsPerS: Double, val writesPerS: Double, val valueBytes: Int, val opsPerCommit: Int) {
    /** How many preconditions one transaction may hold (PROTOCOL, POST /commit). */
    val maxPreconditions: Int get() = opsPerCommit * PRECONDITIONS_PER_WRITE

    private companion object {
        const val PRECONDITIONS_PER_WRITE = 4
    }
}

data class CloudLimits(val requestsPerS: Double, val listLagS: Double)

data class Objective(val kind: String, val jobClass: String?, val withinS: Double?)

/**
 * What the platform hands over. [members] has every controller in name order, so all controllers agree on their
 * indices.
 */
data class Settings(
    val label: String,
    val front: InetSocketAddress,
    val clusterListen: InetSocketAddress,
    val members: List<Member>,
    val self: ControllerId,
    val cloudAddress: String,
    val storeAddress: String,
    val zones: List<String>,
    val teams: List<TeamShare>,
    val objectives: List<Objective>,
    val workers: WorkerRules,
    val storeLimits: StoreLimits,
    /** What the store will allow from some moment after an upgrade, which it does not announce. */
    val nextStoreLimits: StoreLimits?,
    val cloudLimits: CloudLimits,
    val maxConnections: Int,
) {
    val teamsByName: Map<String, TeamId> = teams.withIndex().associate { (i, team) -> team.name to TeamId(i) }

    /** As many shards as controllers; teams are dealt out to them in turn. */
    val shardCount: Int get() = members.size

    fun shardOf(team: TeamId) = ShardId(team.value % shardCount)

    companion object {
        private const val DEFAULT_GANG_WAIT_S = 50.0
        private const val DEFAULT_GANG_PEER_S = 5.0

        fun load(file: Path): Settings {
            val bytes =
                try {
                    Files.readAllBytes(file)
                } catch (e: IOException) {
                    throw SettingsException("cannot read settings file $file: ${e.message}")
                }
            val root =
                try {
                    Tree.readJson(bytes)
                } catch (e: MalformedException) {
                    throw SettingsException("$file is not a JSON map: ${e.message}")
                }
            return parse(root)
        }

        fun parse(root: Fields): Settings {
            val label = at("") { root.text("label") }
            if (label.isEmpty()) throw SettingsException("label is empty")
            val front = at("") { address("front", root.text("front")) }
            val clusterListen = at("") { address("cluster_listen", root.text("cluster_listen")) }
            val seeds = (if (root["seeds"] == null) emptyList() else at("") { root.maps("seeds") })
            val others =
                seeds.mapIndexed { i, seed ->
                    at("seeds[$i].") { Member(seed.text("label"), address("endpoint", seed.text("endpoint"))) }
                }
            val members = (others + Member(label, clusterListen)).sortedBy { it.label }
            if (members.map { it.label }.toSet().size !=
                members.size
            ) {
                throw SettingsException("seeds name a label twice")
            }
            val outside = at("") { root.map("outside") }
            val facts = at("") { root.map("facts") }
            val nodes = at("facts.") { facts.count("nodes") }
            if (nodes != members.size.toLong()) {
                throw SettingsException("facts.nodes is $nodes, but label and seeds name ${members.size} nodes")
            }
            val workers = at("facts.") { facts.map("workers") }
            val rules =
                at("facts.workers.") {
                    WorkerRules(
                        positive(workers, "report_s"),
                        positive(workers, "lease_s"),
                        positive(workers, "cancel_s"),
                        workers.optionalAmount("gang_wait_s") ?: DEFAULT_GANG_WAIT_S,
                        workers.optionalAmount("gang_peer_s") ?: DEFAULT_GANG_PEER_S,
                    )
                }
            if (rules.cancelS <= rules.leaseS) throw SettingsException("facts.workers.cancel_s must be above lease_s")
            val state = at("facts.") { facts.map("state") }
            val storeLimits =
                at("facts.state.") {
                    StoreLimits(
                        positive(state, "rps"),
                        positive(state, "write_rps"),
                        (positive(state, "value_kb") * 1024).toInt(),
                        positive(state, "txn_ops").toInt(),
                    )
                }
            val nextStoreLimits = if (state["next"] ==
                null
            ) {
                null
            } else {
                at("facts.state.next: ") { state.map("next") }.let { nextLimits(it, storeLimits) }
            }
            if (storeLimits.opsPerCommit < 4) throw SettingsException("facts.state.txn_ops must be at least 4")
            val cloud = at("facts.") { facts.map("cloud") }
            val cloudLimits = at("facts.cloud.") { CloudLimits(positive(cloud, "rps"), cloud.amount("list_lag_s")) }
            val connections =
                (
                    facts["resources"]?.let {
                        at("facts.") { facts.map("resources") }
                    }
                    )?.optionalAmountOr("max_connections", 1000.0)
                    ?: 1000.0
            return Settings(
                label = label,
                front = front,
                clusterListen = clusterListen,
                members = members,
                self = ControllerId(members.indexOfFirst { it.label == label }),
                cloudAddress = at("outside.") { outside.text("cloud").also { address("cloud", it) } },
                storeAddress = at("outside.") { outside.text("state").also { address("state", it) } },
                zones = at("facts.") {
                    facts.list("zones").map {
                        it as? String
                            ?: throw MalformedException("zones holds something that is not text")
                    }
                },
                teams = teams(facts),
                objectives = objectives(facts),
                workers = rules,
                storeLimits = storeLimits,
                nextStoreLimits = nextStoreLimits,
                cloudLimits = cloudLimits,
                maxConnections = connections.toInt(),
            )
        }

        /** A limit that is not named stays as it is. */
        private fun nextLimits(next: Fields, now: StoreLimits): StoreLimits = at("facts.state.next.") {
            fun limit(name: String) = if (next[name] == null) null else positive(next, name)
            StoreLimits(
                limit("rps") ?: now.requestsPerS,
                limit("write_rps") ?: now.writesPerS,
                limit("value_kb")?.let { (it * 1024).toInt() } ?: now.valueBytes,
                limit("txn_ops")?.toInt() ?: now.opsPerCommit,
            )
        }

        private fun Fields.list(name: String): List<Any?> =
            this[name] as? List<*> ?: throw MalformedException("$name is missing or not a list")

        private fun Fields.optionalAmountOr(name: String, other: Double): Double = at("facts.resources.") {
            optionalAmount(name)
                ?: other
        }

        private fun teams(facts: Fields): List<TeamShare> {
            val list = at("facts.") { facts.maps("teams") }
            if (list.isEmpty()) throw SettingsException("facts.teams is empty")
            val teams =
                list.mapIndexed { i, team ->
                    at("facts.teams[$i].") {
                        TeamShare(
                            team.text("name"),
                            team.amount("cpus"),
                            team.optionalAmount("cpus_max") ?: 0.0,
                            team.optionalAmount("gpus") ?: 0.0,
                            team.optionalAmount("gpus_max") ?: 0.0,
                        )
                    }
                }
            if (teams.map { it.name }.toSet().size !=
                teams.size
            ) {
                throw SettingsException("facts.teams names a team twice")
            }
            return teams
        }

        private fun objectives(facts: Fields): List<Objective> = if (facts["objectives"] == null) {
            emptyList()
        } else {
            at("facts.") { facts.maps("objectives") }.mapIndexed { i, it ->
                at("facts.objectives[$i].") {
                    Objective(it.text("kind"), it["class"] as? String, it.optionalAmount("within_s"))
                }
            }
        }

        private fun positive(fields: Fields, name: String): Double {
            val value = fields.amount(name)
            if (value <= 0.0) throw MalformedException("$name must be above 0")
            return value
        }

        private fun address(name: String, text: String): InetSocketAddress {
            val colon = text.lastIndexOf(':')
            val port = if (colon > 0) text.substring(colon + 1).toIntOrNull() else null
            val ipAddress = if (colon > 0) text.substring(0, colon) else ""
            // By IP numbers only: a name would be looked up, and there may be nobody to ask.
            if (port == null || port !in 1..65535 || !ipAddress.matches(Regex("[0-9]{1,3}(\\.[0-9]{1,3}){3}"))) {
                throw MalformedException("$name is not an address of the form 10.0.0.1:8080: $text")
            }
            return try {
                InetSocketAddress(ipAddress, port)
            } catch (e: IllegalArgumentException) {
                throw MalformedException("$name is not an address: ${e.message}")
            }
        }

        private inline fun <T> at(prefix: String, read: () -> T): T = try {
            read()
        } catch (e: MalformedException) {
            throw SettingsException(prefix + e.message)
        }
    }
}
