package io.reedmast.peers

import io.reedmast.ports.Cancellation
import io.reedmast.ports.JobProgress
import io.reedmast.ports.MachineHint
import io.reedmast.ports.PeerMessage
import io.reedmast.settings.ControllerId
import io.reedmast.settings.ShardId
import okio.Buffer
import okio.BufferedSink
import okio.BufferedSource
import okio.ByteString.Companion.encodeUtf8
import okio.IOException

/**
 * Encodes the messages between controllers as frames, and decodes them. All integers are big-endian.
 *
 * - A frame consists of its length in bytes (4 bytes, which the length does not include), a byte for the message's type
 *   and the fields in the order in which they are written below, without names.
 * - A text consists of its length in bytes (1 byte) and its UTF-8 bytes; longer texts are truncated to
 *   [MAX_TEXT_BYTES].
 * - A status update is a sequence of entries up to the end of the frame, each starting with a byte for its kind; an
 *   update that is too large for one frame is sent as several messages.
 */
internal object PeerCodec {
    private const val MAX_FRAME_BYTES = 64 * 1024
    private const val MAX_TEXT_BYTES = 255
    private const val UNSIGNED_BYTE_MASK = 0xff
    private const val MAX_IMAGES = 255

    /** Written in place of the number of cancellations if there are too many to list. */
    private const val NO_CANCELLATION_LIST = -1

    /** Written in place of the age of the store's last answers if there have never been any. */
    private const val NO_STORE_ANSWER = -1L

    private const val STATUS_UPDATE = 1
    private const val STATUS_QUERY = 2
    private const val STATUS_REPORT = 3
    private const val FAILOVER_REQUEST = 4

    private const val JOB_ENTRY = 1
    private const val MACHINE_ENTRY = 2

    /** Writes [message] in as many frames as it needs. */
    fun write(sink: BufferedSink, message: PeerMessage) {
        when (message) {
            is PeerMessage.ShardStatusUpdate -> writeStatusUpdate(sink, message)
            is PeerMessage.ControllerStatusQuery -> writeControllerStatusQuery(sink, message)
            is PeerMessage.ControllerStatusReport -> writeControllerStatusReport(sink, message)
            is PeerMessage.FailoverRequest -> writeFrame(
                sink,
                Buffer().writeByte(FAILOVER_REQUEST).writeInt(message.shard.value).writeLong(message.term),
            )
        }
        sink.flush()
    }

    private fun writeStatusUpdate(sink: BufferedSink, update: PeerMessage.ShardStatusUpdate) {
        var frame = Buffer().writeByte(STATUS_UPDATE)
        fun add(entry: Buffer) {
            if (frame.size + entry.size > MAX_FRAME_BYTES) {
                writeFrame(sink, frame)
                frame = Buffer().writeByte(STATUS_UPDATE)
            }
            frame.write(entry, entry.size)
        }
        for (job in update.jobs) {
            add(Buffer().writeByte(JOB_ENTRY).writeText(job.jobId).writeInt(job.done).writeInt(job.running))
        }
        for (hint in update.machines) add(machineEntry(hint))
        writeFrame(sink, frame)
    }

    private fun machineEntry(hint: MachineHint): Buffer {
        val images = hint.images.takeLast(MAX_IMAGES)
        val entry = Buffer().writeByte(MACHINE_ENTRY).writeText(hint.machineName).writeText(hint.addr)
        entry.writeByte(images.size)
        images.forEach { (image, imageGb) -> entry.writeText(image).writeLong(imageGb.toRawBits()) }
        return entry
    }

    private fun writeControllerStatusQuery(sink: BufferedSink, query: PeerMessage.ControllerStatusQuery) {
        val frame = Buffer().writeByte(STATUS_QUERY)
        writeFrame(sink, frame.writeInt(query.from.value).writeText(query.incarnation).writeLong(query.sequence))
    }

    private fun writeControllerStatusReport(sink: BufferedSink, report: PeerMessage.ControllerStatusReport) {
        val frame = Buffer().writeByte(STATUS_REPORT)
        frame.writeInt(report.from.value).writeText(report.incarnation).writeLong(report.sequence)
        frame.writeLong(report.uptimeMs).writeLong(report.storeViewAgeMs ?: NO_STORE_ANSWER)
        val cancellations = report.cancellations
        frame.writeInt(cancellations?.size ?: NO_CANCELLATION_LIST)
        cancellations?.forEach { frame.writeText(it.jobId).writeLong(it.version) }
        writeFrame(sink, frame)
    }

    private fun Buffer.writeText(text: String): Buffer {
        val bytes = text.encodeUtf8().let { if (it.size > MAX_TEXT_BYTES) it.substring(0, MAX_TEXT_BYTES) else it }
        return writeByte(bytes.size).write(bytes)
    }

    private fun writeFrame(sink: BufferedSink, frame: Buffer) {
        sink.writeInt(frame.size.toInt())
        sink.write(frame, frame.size)
    }

    /** Reads the next frame; throws [IOException] if there is none or it is malformed. */
    fun read(source: BufferedSource): PeerMessage {
        val size = source.readInt()
        if (size !in 1..MAX_FRAME_BYTES) throw IOException("invalid frame length: $size bytes")
        val frame = Buffer()
        source.readFully(frame, size.toLong())
        return when (val type = frame.readUnsignedByte()) {
            STATUS_UPDATE -> readStatusUpdate(frame)
            STATUS_QUERY -> PeerMessage.ControllerStatusQuery(
                ControllerId(frame.readInt()),
                frame.readText(),
                frame.readLong(),
            )
            STATUS_REPORT -> readControllerStatusReport(frame)
            FAILOVER_REQUEST -> PeerMessage.FailoverRequest(ShardId(frame.readInt()), frame.readLong())
            else -> throw IOException("unknown message type: $type")
        }
    }

    private fun readStatusUpdate(frame: Buffer): PeerMessage.ShardStatusUpdate {
        val jobs = ArrayList<JobProgress>()
        val machines = ArrayList<MachineHint>()
        while (!frame.exhausted()) {
            when (val kind = frame.readUnsignedByte()) {
                JOB_ENTRY -> jobs.add(JobProgress(frame.readText(), frame.readInt(), frame.readInt()))
                MACHINE_ENTRY -> machines.add(MachineHint(frame.readText(), frame.readText(), readImages(frame)))
                else -> throw IOException("unknown kind of status entry: $kind")
            }
        }
        return PeerMessage.ShardStatusUpdate(jobs, machines)
    }

    private fun readImages(frame: Buffer): List<Pair<String, Double>> =
        List(frame.readUnsignedByte()) { frame.readText() to Double.fromBits(frame.readLong()) }

    private fun readControllerStatusReport(frame: Buffer): PeerMessage.ControllerStatusReport {
        val from = ControllerId(frame.readInt())
        val incarnation = frame.readText()
        val sequence = frame.readLong()
        val uptimeMs = frame.readLong()
        val storeViewAgeMs = frame.readLong().takeIf { it >= 0 }
        val count = frame.readInt()
        if (count > PeerMessage.MAX_CANCELLATIONS) throw IOException("too many cancellations: $count")
        val cancellations = if (count < 0) null else List(count) { Cancellation(frame.readText(), frame.readLong()) }
        return PeerMessage.ControllerStatusReport(from, incarnation, sequence, uptimeMs, storeViewAgeMs, cancellations)
    }

    private fun Buffer.readText(): String = readUtf8(readUnsignedByte().toLong())

    private fun Buffer.readUnsignedByte(): Int = readByte().toInt() and UNSIGNED_BYTE_MASK
}
