package io.reedmast.ports

/**
 * All I/O that the decisions ask for: every port in one. Classes that decide take the narrow ports that they need.
 *
 * No call of any port blocks: each answers later, on the deciding thread. The real gateway hands calls to threads;
 * tests have one of their own.
 */
interface Gateway :
    KeyValueStore,
    Cloud,
    WorkerTransport,
    PeerTransport,
    ProcessControl
