package io.reedmast.wire

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against messages larger than the protocol allows, because the size of what they list is underestimated. */
class MessageSizesTest {
    private val id = TaskId("wk-123456789012345678", 99_999)

    private fun sizeInList(entry: Fields) = BodyCodec.jsonSize(entry) + 1

    @Test
    fun `no reported task is larger than the bound`() {
        for (cause in TaskEndCause.entries) {
            val entry = mapOf("piece" to "$id", "try" to Long.MAX_VALUE, "stage" to "ended", "cause" to cause.wireName)
            assertTrue(sizeInList(entry) <= MessageSizes.reportedTaskBytes(id.jobId, maySave = false), "$cause")
            val saved = entry + ("stored" to true)
            assertTrue(sizeInList(saved) <= MessageSizes.reportedTaskBytes(id.jobId, maySave = true), "$cause, saved")
        }
        for (state in TaskState.entries) {
            val entry = mapOf("piece" to "$id", "try" to Long.MAX_VALUE, "stage" to state.wireName)
            assertTrue(sizeInList(entry) <= MessageSizes.reportedTaskBytes(id.jobId, maySave = false), "$state")
        }
    }
}
