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

    @Test
    fun `no command is larger than the bound`() {
        val commands = listOf(
            WorkerCommand.StartTask(id, Long.MAX_VALUE),
            WorkerCommand.StopTask(id, Long.MAX_VALUE, graceS = 1_234_567.0 / 3),
            WorkerCommand.ForgetTask(id, Long.MAX_VALUE),
        )
        for (command in commands) assertTrue(sizeInList(command.toFields()) <= command.maxBytes, "$command")
    }

    @Test
    fun `commands beyond one message are left out`() {
        val commands = List(5_000) { WorkerCommand.StartTask(TaskId("wk-1", it), 1L) }
        val fitting = commands.fittingOneMessage()
        assertEquals(commands.take(fitting.size), fitting)
        assertTrue(BodyCodec.jsonSize(WorkerReplies.directCall(1L, 1L, fitting)) <= MessageSizes.MAX_BODY_BYTES)
        assertTrue(fitting.size > 500)
    }
}
