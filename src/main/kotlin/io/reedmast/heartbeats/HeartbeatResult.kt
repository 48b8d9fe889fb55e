package io.reedmast.heartbeats

import io.reedmast.wire.WorkerCommand

/** What an owner answers to a heartbeat: its [commands], and the [evidence] that the status was taken for. */
class HeartbeatResult(val commands: List<WorkerCommand>, val evidence: StatusEvidence)
