package io.reedmast.ownership

import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.count
import io.reedmast.wire.map
import io.reedmast.wire.maps
import io.reedmast.wire.text
import io.reedmast.workers.HostRecord

/**
 * Who owns a slice, under which token, and with which machines. The record's stamp is the term: every write of an owner
 * is conditional on it.
 */
data class SliceRecord(
    val owner: String,
    val token: Long,
    val hosts: List<HostRecord>,
    /** Machines that are to move to another slice as soon as they are empty. */
    val leaving: Map<String, Int>,
) {
    fun toFields(): Fields = mapOf("owner" to owner, "token" to token, "hosts" to hosts.map { it.toFields() }, "leaving" to leaving)

    fun without(host: String) = copy(hosts = hosts.filter { it.name != host }, leaving = leaving - host)

    fun with(added: List<HostRecord>) = copy(hosts = hosts + added.filter { new -> hosts.none { it.name == new.name } })

    companion object {
        fun parse(fields: Fields) = SliceRecord(
            fields.text("owner"),
            fields.count("token"),
            fields.maps("hosts").map { HostRecord.parse(it) },
            fields.map("leaving").mapValues { (_, v) -> (v as? Long)?.toInt() ?: throw MalformedException("leaving names no slice") },
        )
    }
}
