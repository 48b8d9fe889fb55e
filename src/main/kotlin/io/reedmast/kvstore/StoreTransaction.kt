package io.reedmast.kvstore

/**
 * One transaction as it is sent to the store; it carries one or several [CasTransaction]s.
 *
 * Every value that it puts carries [id], which shows what transaction stored the value of a key. The rest of the value
 * would not show that: two controllers that cancel the same job write equal records.
 */
class StoreTransaction(val id: String, val preconditions: List<Precondition>, val writes: List<Write>)
