package io.reedmast.kvstore

/**
 * One transaction as it is sent to the store; it carries one or several [CasTransaction]s.
 *
 * Every value that it puts carries [id]. The value of a key tells by it which transaction stored it, where equal values
 * would not: two controllers that cancel the same job write the same record.
 */
class StoreTransaction(val id: String, val preconditions: List<Precondition>, val writes: List<Write>)
