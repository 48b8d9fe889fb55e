package io.reedmast.settings

import java.net.InetSocketAddress

/** A controller of the cluster; the other controllers connect to [address]. */
data class Member(val label: String, val address: InetSocketAddress)
