package io.reedmast.cluster

import io.reedmast.model.MachineRecord
import io.reedmast.settings.ShardId
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.flag
import io.reedmast.wire.list
import io.reedmast.wire.map
import io.reedmast.wire.maps
import io.reedmast.wire.text

/** A part of a shard's machine list: the machines that one stored record contains. */
data class MachineListPart(
    val records: List<MachineRecord>,
    /**
     * The names of machines that are to move to another shard as soon as they are empty, each with that shard's index.
     */
    val transfers: Map<String, Int>,
) {
    /** The attributes that the machines in one group of the stored form have in common. */
    private data class MachineKind(val typeName: String, val zone: String, val spot: Boolean) {
        constructor(record: MachineRecord) : this(record.typeName, record.zone, record.spot)
    }

    /** The stored form. */
    fun toFields(): Fields = mapOf(
        "kinds" to
            records.groupBy { MachineKind(it) }.map { (kind, machines) ->
                mapOf(
                    "typeName" to kind.typeName,
                    "zone" to kind.zone,
                    "spot" to kind.spot,
                    "hosts" to machines.map { it.name },
                )
            },
        "leaving" to transfers,
    )

    /** Whether this part fits into a stored value of [valueBytes] and leaves room for more entries in [transfers]. */
    fun fits(valueBytes: Int): Boolean = BodyCodec.jsonSize(toFields()) <= valueBytes * MAX_FILL_BEFORE_TRANSFERS

    /**
     * Whether the store accepts this part, with its [transfers], as a value of at most [valueBytes]; a part that an
     * earlier version stored may be too large until it has been split.
     */
    fun isStorable(valueBytes: Int): Boolean = BodyCodec.jsonSize(toFields()) <= valueBytes * MAX_FILL

    /** A copy without the machines called [names] and their entries in [transfers]. */
    fun without(names: Set<String>) = MachineListPart(records.filter { it.name !in names }, transfers - names)

    /** A copy in which the machines called [names] are marked for transfer to the shard [to]. */
    internal fun withTransferMarks(names: List<String>, to: ShardId) = copy(
        transfers =
        transfers + names.associateWith { to.value },
    )

    /**
     * A copy with the first of the [added] machines that are not in this part; their number is halved until the copy
     * [fits] into a value of [valueBytes].
     */
    fun withMachinesThatFit(added: List<MachineRecord>, valueBytes: Int): MachineListPart {
        val new = added.filter { record -> !contains(record.name) }
        var count = new.size
        while (count > 0 && !copy(records = records + new.take(count)).fits(valueBytes)) count /= 2
        return copy(records = records + new.take(count))
    }

    /** Whether the machine called [name] is in this part. */
    fun contains(name: String): Boolean = records.any { it.name == name }

    companion object {
        /**
         * The fraction of a stored value's maximum size that may be filled when machines are added: their entries in
         * [transfers] need room too.
         */
        private const val MAX_FILL_BEFORE_TRANSFERS = 0.8

        /** The fraction of a stored value's maximum size that may be filled, entries in [transfers] included. */
        private const val MAX_FILL = 0.95

        /** No machines. */
        val EMPTY = MachineListPart(emptyList(), emptyMap())

        /** The content of a record that does not exist yet. */
        internal val NOT_STORED = StoredMachineListPart(EMPTY, 0L)

        /** Reads the stored form; throws [MalformedException]. */
        fun parse(fields: Fields) = MachineListPart(
            fields.maps("kinds").flatMap { kind ->
                kind.list("hosts").map {
                    MachineRecord(
                        it as? String ?: throw MalformedException("an entry of hosts is not a machine name"),
                        kind.text("typeName"),
                        kind.text("zone"),
                        kind.flag("spot"),
                    )
                }
            },
            fields.map("leaving").mapValues { (_, shard) ->
                (shard as? Long)?.toInt() ?: throw MalformedException("a value in leaving is not a shard index")
            },
        )
    }
}
