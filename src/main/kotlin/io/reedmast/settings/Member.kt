package io.reedmast.settings

import java.net.InetSocketAddress

/** A controller of the cluster, and where it accepts the connections of the others. */
data class Member(val label: String, val address: InetSocketAddress)
