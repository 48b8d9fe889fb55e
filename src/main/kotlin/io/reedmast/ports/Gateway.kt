package io.reedmast.ports

/**
 * Every port in one interface: all I/O that decisions require. Classes that decide take the narrow ports that they
 * need.
 *
 * No call of any port blocks: each delivers its result later, on the event loop. The production
 * implementation runs calls on other threads; tests have an implementation of their own.
 */
interface Gateway :
    KeyValueStore,
    Cloud,
    WorkerTransport,
    PeerTransport,
    ProcessControl
