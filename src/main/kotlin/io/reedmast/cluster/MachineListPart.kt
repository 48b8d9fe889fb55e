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

/** Some of a shard's machines, as many as one stored value holds. */
data class MachineListPart(
    val records: List<MachineRecord>,
    /** Machines that are to move to another shard as soon as they are empty, with its index. */
    val transfers: Map<String, Int>,
) {
    /** What machines in one group of the stored form have in common. */
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

    /** Whether it fits into a value of [valueBytes] and leaves room for marks of transfers. */
    fun fits(valueBytes: Int): Boolean = BodyCodec.jsonSize(toFields()) <= valueBytes * MAX_FILL_BEFORE_TRANSFERS

    /**
     * Whether the store takes it as a value of at most [valueBytes], with its marks of transfers; one that an earlier
     * version stored may be too large until it has been divided.
     */
    fun isStorable(valueBytes: Int): Boolean = BodyCodec.jsonSize(toFields()) <= valueBytes * MAX_FILL

    /** Without the machines called [names]. */
    fun without(names: Set<String>) = MachineListPart(records.filter { it.name !in names }, transfers - names)

    /** With the machines called [names] marked as leaving for the shard [to]. */
    internal fun withTransferMarks(names: List<String>, to: ShardId) = copy(
        transfers =
        transfers + names.associateWith { to.value },
    )

    /** With the first of [added]; their number is halved until the whole fits into a value of [valueBytes]. */
    fun withMachinesThatFit(added: List<MachineRecord>, valueBytes: Int): MachineListPart {
        val new = added.filter { record -> !contains(record.name) }
        var count = new.size
        while (count > 0 && !copy(records = records + new.take(count)).fits(valueBytes)) count /= 2
        return copy(records = records + new.take(count))
    }

    /** Whether it names this machine. */
    fun contains(name: String): Boolean = records.any { it.name == name }

    companion object {
        /** How full a value is made with machines: the marks of transfers need room too. */
        private const val MAX_FILL_BEFORE_TRANSFERS = 0.8

        /** How full a value may be made with marks of transfers. */
        private const val MAX_FILL = 0.95

        /** No machines. */
        val EMPTY = MachineListPart(emptyList(), emptyMap())

        /** What a record holds that does not exist yet. */
        internal val NOT_STORED = StoredMachineListPart(EMPTY, 0L)

        /** Reads the stored form; throws [MalformedException]. */
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
            fields.map("leaving").mapValues { (_, shard) ->
                (shard as? Long)?.toInt() ?: throw MalformedException("leaving names no shard")
            },
        )
    }
}
