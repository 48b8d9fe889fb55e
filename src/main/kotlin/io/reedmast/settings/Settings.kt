package io.reedmast.settings

import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.file.Files
import java.nio.file.Path

/**
 * The settings that the platform gives a controller when it starts.
 *
 * @property label the name of this controller.
 * @property apiAddress the address at which users and workers are served (`front`).
 * @property clusterAddress the address at which the other controllers are served (`cluster_listen`).
 * @property members all controllers, sorted by label so that every controller assigns the same indices.
 * @property controllerId the index of this controller in [members].
 * @property maxConnections the maximum number of connections that this process may have open.
 */
data class Settings(
    val label: String,
    val apiAddress: InetSocketAddress,
    val clusterAddress: InetSocketAddress,
    val members: List<Member>,
    val controllerId: ControllerId,
    val cloudAddress: String,
    val storeAddress: String,
    val zones: List<String>,
    val teams: List<TeamShare>,
    val objectives: List<Objective>,
    val workers: WorkerRules,
    val storeLimits: StoreLimits,
    /** The limits that the store will have from some moment after an upgrade; it does not announce that moment. */
    val nextStoreLimits: StoreLimits?,
    val cloudLimits: CloudLimits,
    val maxConnections: Int,
) {
    /** The teams by name; the names are distinct. */
    val teamsByName: Map<String, TeamId> = teams.withIndex().associate { (i, team) -> team.name to TeamId(i) }

    /** There are as many shards as controllers; teams are assigned to shards round-robin. */
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
            throw SettingsException("settings file $file is not a JSON map: ${e.message}", e)
        }
    }
}
