package io.reedmast.model

import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.count
import io.reedmast.wire.text

/**
 * Who owns a shard, and under which fencing token. The record's version is the term: every write of an owner is
 * conditional on it.
 *
 * Its machines are kept apart, in records of their own: with them in here, the term moved with each machine that came
 * or went and put every write in flight in conflict, and a few hundred of them did not fit into one value.
 *
 * @property owner the label of the controller that owns the shard.
 */
data class ShardRecord(val owner: String, val token: Long) {
    /** The stored form. */
    fun toFields(): Fields = mapOf("owner" to owner, "token" to token)

    companion object {
        /** Reads the stored form; throws [MalformedException] for anything else. */
        fun parse(fields: Fields) = ShardRecord(fields.text("owner"), fields.count("token"))
    }
}
