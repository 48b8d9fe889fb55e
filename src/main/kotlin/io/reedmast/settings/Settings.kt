package io.reedmast.settings

import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.file.Files
import java.nio.file.Path

/**
 * What the platform hands over to a controller at its start.
 *
 * @property label this controller's name.
 * @property apiAddress where users and workers are served.
 * @property clusterAddress where the other controllers are served.
 * @property members every controller in name order, so that all controllers agree on their indices.
 * @property self this controller's place in [members].
 * @property maxConnections how many connections this process may have open.
 */
data class Settings(
    val label: String,
    val apiAddress: InetSocketAddress,
    val clusterAddress: InetSocketAddress,
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
    /** The teams by their names, which are distinct. */
    val teamsByName: Map<String, TeamId> = teams.withIndex().associate { (i, team) -> team.name to TeamId(i) }

    /** As many shards as controllers; teams are assigned to them in turn. */
    val shardCount: Int get() = members.size

    /** The shard that a team belongs to. */
    fun shardOf(team: TeamId) = ShardId(team.value % shardCount)

    companion object {
        /** Reads the settings file; throws [SettingsException] if it cannot be read or used. */
        fun load(file: Path): Settings = parse(readJson(file, readBytes(file)))

        /** Reads the settings; throws [SettingsException] for the first field that cannot be used. */
        fun parse(root: Fields): Settings = SettingsParser(root).parse()

        private fun readBytes(file: Path): ByteArray = try {
            Files.readAllBytes(file)
        } catch (e: IOException) {
            throw SettingsException("cannot read settings file $file: ${e.message}", e)
        }

        private fun readJson(file: Path, bytes: ByteArray): Fields = try {
            BodyCodec.readJson(bytes)
        } catch (e: MalformedException) {
            throw SettingsException("$file is not a JSON map: ${e.message}", e)
        }
    }
}
