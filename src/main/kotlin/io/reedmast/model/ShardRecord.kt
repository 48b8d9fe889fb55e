package io.reedmast.model

import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.count
import io.reedmast.wire.text

/**
 * Who owns a shard, and under which fencing token. The version of the record is the owner's term: every write of the
 * owner is conditional on it.
 *
 * The machines of the shard are stored in separate records. When this record contained them, each added or removed
 * machine changed the term, so that all writes in flight failed with a conflict; and a few hundred machines did not fit
 * into one value.
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
