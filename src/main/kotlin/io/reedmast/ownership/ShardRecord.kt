package io.reedmast.ownership

import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Tree
import io.reedmast.wire.count
import io.reedmast.wire.flag
import io.reedmast.wire.list
import io.reedmast.wire.map
import io.reedmast.wire.maps
import io.reedmast.wire.text
import io.reedmast.workers.HostRecord

/**
 * Who owns a shard, and under which token. The record's version is the term: every write of an owner is conditional on it.
 *
 * Its machines are kept apart, in [HostPart]s: with them in here, the term moved with each machine that came or went and
 * put every write in flight in conflict, and a few hundred of them did not fit into one value.
 */
data class ShardRecord(val owner: String, val token: Long) {
    fun toFields(): Fields = mapOf("owner" to owner, "token" to token)

    companion object {
        fun parse(fields: Fields) = ShardRecord(fields.text("owner"), fields.count("token"))
    }
}

/** Some of a shard's machines, as many as one stored value holds. */
data class HostPart(
    val hosts: List<HostRecord>,
    /** Machines that are to move to another shard as soon as they are empty. */
    val leaving: Map<String, Int>,
) {
    fun toFields(): Fields = mapOf(
        "kinds" to
            hosts.groupBy { Triple(it.typeName, it.zone, it.spot) }.map { (kind, of) ->
                mapOf("typeName" to kind.first, "zone" to kind.second, "spot" to kind.third, "hosts" to of.map { it.name })
            },
        "leaving" to leaving,
    )

    fun fits(valueBytes: Int): Boolean = Tree.jsonSize(toFields()) <= valueBytes * FILLED

    fun without(names: Set<String>) = HostPart(hosts.filter { it.name !in names }, leaving - names)

    /** With as many of [added] as fit. */
    fun with(added: List<HostRecord>, valueBytes: Int): HostPart {
        val new = added.filter { host -> hosts.none { it.name == host.name } }
        var count = new.size
        while (count > 0 && !copy(hosts = hosts + new.take(count)).fits(valueBytes)) count /= 2
        return copy(hosts = hosts + new.take(count))
    }

    fun holds(name: String) = hosts.any { it.name == name }

    companion object {
        /** How full a value is made: the marks of leaving machines need room too. */
        private const val FILLED = 0.8
        val EMPTY = HostPart(emptyList(), emptyMap())

        fun parse(fields: Fields) = HostPart(
            fields.maps("kinds").flatMap { kind ->
                kind.list("hosts").map {
                    HostRecord(it as? String ?: throw MalformedException("hosts holds no name"), kind.text("typeName"), kind.text("zone"), kind.flag("spot"))
                }
            },
            fields.map("leaving").mapValues { (_, v) -> (v as? Long)?.toInt() ?: throw MalformedException("leaving names no shard") },
        )
    }
}
