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

/** Frames between controllers: the length, a byte for the message's type, then its fields. */
internal object PeerCodec {
    private const val MAX_FRAME = 64 * 1024
    private const val MAX_TEXT = 255
    private const val MAX_IMAGES = 255
    private const val NO_CANCELLATION_LIST = -1
    private const val NEVER_HEARD = -1L

    private const val NEWS = 1
    private const val QUERY = 2
    private const val REPORT = 3
    private const val TAKEOVER = 4

    private const val JOB_ENTRY = 1
    private const val MACHINE_ENTRY = 2

    /** Writes [message] in as many frames as it takes. */
    fun write(sink: BufferedSink, message: PeerMessage) {
        when (message) {
            is PeerMessage.ShardStatusUpdate -> writeNews(sink, message)
            is PeerMessage.StatusQuery -> writeQuery(sink, message)
            is PeerMessage.StatusReport -> writeReport(sink, message)
            is PeerMessage.FailoverRequest -> send(
                sink,
                Buffer().writeByte(TAKEOVER).writeInt(message.shard.value).writeLong(message.term),
            )
        }
        sink.flush()
    }

    private fun writeNews(sink: BufferedSink, update: PeerMessage.ShardStatusUpdate) {
        var frame = Buffer().writeByte(NEWS)
        fun add(entry: Buffer) {
            if (frame.size + entry.size > MAX_FRAME) {
                send(sink, frame)
                frame = Buffer().writeByte(NEWS)
            }
            frame.write(entry, entry.size)
        }
        for (job in update.jobs) {
            add(
                Buffer().writeByte(JOB_ENTRY).text(job.jobId).writeInt(job.done).writeInt(job.running),
            )
        }
        for (hint in update.machines) add(machineEntry(hint))
        send(sink, frame)
    }

    private fun machineEntry(hint: MachineHint): Buffer {
        val images = hint.images.takeLast(MAX_IMAGES)
        val entry = Buffer().writeByte(MACHINE_ENTRY).text(hint.machineName).text(hint.addr).writeByte(images.size)
        images.forEach { (image, imageGb) -> entry.text(image).writeLong(imageGb.toRawBits()) }
        return entry
    }

    private fun writeQuery(sink: BufferedSink, query: PeerMessage.StatusQuery) {
        val frame = Buffer().writeByte(QUERY)
        send(sink, frame.writeInt(query.from.value).text(query.incarnation).writeLong(query.sequence))
    }

    private fun writeReport(sink: BufferedSink, report: PeerMessage.StatusReport) {
        val frame = Buffer().writeByte(REPORT)
        frame.writeInt(report.from.value).text(report.incarnation).writeLong(report.sequence)
        frame.writeLong(report.uptimeMs).writeLong(report.storeAgeMs ?: NEVER_HEARD)
        val cancellations = report.cancellations
        frame.writeInt(cancellations?.size ?: NO_CANCELLATION_LIST)
        cancellations?.forEach { frame.text(it.jobId).writeLong(it.version) }
        send(sink, frame)
    }

    private fun Buffer.text(text: String): Buffer {
        val bytes = text.encodeUtf8().let { if (it.size > MAX_TEXT) it.substring(0, MAX_TEXT) else it }
        return writeByte(bytes.size).write(bytes)
    }

    private fun send(sink: BufferedSink, frame: Buffer) {
        sink.writeInt(frame.size.toInt())
        sink.write(frame, frame.size)
    }

    /** Reads the next frame; throws [IOException] if there is none or it makes no sense. */
    fun read(source: BufferedSource): PeerMessage {
        val size = source.readInt()
        if (size !in 1..MAX_FRAME) throw IOException("a frame of $size bytes")
        val frame = Buffer()
        source.readFully(frame, size.toLong())
        return when (val type = frame.readSmall()) {
            NEWS -> readNews(frame)
            QUERY -> PeerMessage.StatusQuery(ControllerId(frame.readInt()), frame.readText(), frame.readLong())
            REPORT -> readReport(frame)
            TAKEOVER -> PeerMessage.FailoverRequest(ShardId(frame.readInt()), frame.readLong())
            else -> throw IOException("a message of type $type")
        }
    }

    private fun readNews(frame: Buffer): PeerMessage.ShardStatusUpdate {
        val jobs = ArrayList<JobProgress>()
        val machines = ArrayList<MachineHint>()
        while (!frame.exhausted()) {
            when (val kind = frame.readSmall()) {
                JOB_ENTRY -> jobs.add(JobProgress(frame.readText(), frame.readInt(), frame.readInt()))
                MACHINE_ENTRY -> machines.add(MachineHint(frame.readText(), frame.readText(), readImages(frame)))
                else -> throw IOException("an entry of kind $kind")
            }
        }
        return PeerMessage.ShardStatusUpdate(jobs, machines)
    }

    private fun readImages(frame: Buffer) = List(frame.readSmall()) {
        frame.readText() to
            Double.fromBits(frame.readLong())
    }

    private fun readReport(frame: Buffer): PeerMessage.StatusReport {
        val from = ControllerId(frame.readInt())
        val incarnation = frame.readText()
        val sequence = frame.readLong()
        val uptimeMs = frame.readLong()
        val storeAgeMs = frame.readLong().takeIf { it >= 0 }
        val count = frame.readInt()
        if (count > PeerMessage.MAX_CANCELLATIONS) throw IOException("$count cancellations")
        val cancellations = if (count < 0) null else List(count) { Cancellation(frame.readText(), frame.readLong()) }
        return PeerMessage.StatusReport(from, incarnation, sequence, uptimeMs, storeAgeMs, cancellations)
    }

    private fun Buffer.readText(): String = readUtf8(readSmall().toLong())

    private fun Buffer.readSmall(): Int = readByte().toInt() and 0xff
}
