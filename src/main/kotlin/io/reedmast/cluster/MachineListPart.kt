package io.reedmast.cluster

import io.reedmast.model.MachineRecord
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Tree
import io.reedmast.wire.count
import io.reedmast.wire.flag
import io.reedmast.wire.list
import io.reedmast.wire.map
import io.reedmast.wire.maps
import io.reedmast.wire.text

/** Some of a shard's machines, as many as one stored value holds. */
data class MachineListPart(
    val records: List<MachineRecord>,
    /** Machines that are to move to another shard as soon as they are empty. */
    val transfers: Map<String, Int>,
) {
    fun toFields(): Fields = mapOf(
        "kinds" to
            records.groupBy { Triple(it.typeName, it.zone, it.spot) }.map { (kind, of) ->
                mapOf(
                    "typeName" to kind.first,
                    "zone" to kind.second,
                    "spot" to kind.third,
                    "hosts" to of.map { it.name },
                )
            },
        "leaving" to transfers,
    )

    fun fits(valueBytes: Int): Boolean = Tree.jsonSize(toFields()) <= valueBytes * FILLED

    fun without(names: Set<String>) = MachineListPart(records.filter { it.name !in names }, transfers - names)

    /** With as many of [added] as fit. */
    fun with(added: List<MachineRecord>, valueBytes: Int): MachineListPart {
        val new = added.filter { record -> records.none { it.name == record.name } }
        var count = new.size
        while (count > 0 && !copy(records = records + new.take(count)).fits(valueBytes)) count /= 2
        return copy(records = records + new.take(count))
    }

    fun holds(name: String) = records.any { it.name == name }

    companion object {
        /** How full a value is made: the marks of transfers machines need room too. */
        private const val FILLED = 0.8
        val EMPTY = MachineListPart(emptyList(), emptyMap())

        fun parse(fields: Fields) = MachineListPart(
            fields.maps("kinds").flatMap { kind ->
                kind.list("hosts").map {
                    MachineRecord(
                        it as? String ?: throw MalformedException("hosts holds no name"),
                        kind.text("typeName"),
                        kind.text("zone"),
                        kind.flag("spot"),
                    )
                }
            },
            fields.map("leaving").mapValues { (_, v) ->
                (v as? Long)?.toInt()
                    ?: throw MalformedException("leaving names no shard")
            },
        )
    }
}
