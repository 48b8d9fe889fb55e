package io.reedmast.loopback

import io.reedmast.persistence.DensePages
import io.reedmast.sim.World
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.slf4j.LoggerFactory

/**
 * Three controllers that run as real processes are drained, killed, replaced and rolled back under load, with `reedmast
 * rollout` used as an operator would use it. Services stay placed, no task runs on two machines at once, and no stored
 * record has a format that a participating controller cannot read.
 *
 * The environment variable OLD_CLASS_PATH is the class path of an earlier version, built from this project's history,
 * that supports the rollout but not dense pages. If it is not set, as in CI, the current version is used in its place,
 * and only the checks that depend on the difference are skipped.
 */
class LoopbackRolloutTest {
    private val log = LoggerFactory.getLogger("loopback")
    private val currentClassPath = System.getProperty("java.class.path")
    private val earlierClassPath: String? = System.getenv("OLD_CLASS_PATH")
    private val upgraded = HashSet<Int>()

    private fun cluster() = LoopbackCluster(controllers = 3, machines = 8) {
        if (it in upgraded ||
            earlierClassPath == null
        ) {
            currentClassPath
        } else {
            earlierClassPath
        }
    }

    private fun LoopbackCluster.assertAccepted(vararg arguments: String) {
        val (code, output) = rollout(*arguments)
        assertEquals(0, code, "${arguments.toList()}: $output")
    }

    private fun LoopbackCluster.assertRefused(reason: String, vararg arguments: String) {
        val (code, output) = rollout(*arguments)
        assertEquals(1, code, "${arguments.toList()}: $output")
        assertTrue(reason in output, output)
    }

    private fun LoopbackCluster.status(): String = rollout("status").second

    private fun LoopbackCluster.awaitGate(feature: String, state: String) = await("$feature $state", 30) {
        "feature $feature: $state" in
            status()
    }

    private fun LoopbackCluster.allPagesAre(dense: Boolean) = storedItems("page/").let { pages ->
        pages.isNotEmpty() &&
            pages.all { DensePages.isDense(it.value) == dense }
    }

    private fun LoopbackCluster.replace(controller: Int) {
        assertAccepted("drain", labels[controller], "--why", "it is replaced")
        await("${labels[controller]} is drained", 30) { rollout("ready", labels[controller]).first == 0 }
        kill(controller)
        start(controller)
        await("${labels[controller]} is back", 30) { isBack(labels[controller]) }
    }

    /**
     * Whether the status shows the restarted controller. For some seconds, the key of the killed process still exists
     * and says that it is being drained.
     */
    private fun LoopbackCluster.isBack(label: String) = status().lines().any {
        it.startsWith("controller $label: versions") &&
            "draining" !in it
    }

    @Test
    fun `controllers are replaced one at a time, features rolled out and reverted`() = cluster().use { cluster ->
        cluster.labels.indices.forEach { cluster.start(it) }
        val services = listOf("a", "b", "c").mapIndexed { i, team ->
            World.spec(
                "wk-%06d".format(i + 1),
                mapOf(
                    "kind" to "service",
                    "team" to team,
                    "tasks" to "6",
                    "priority" to "urgent",
                ),
            )
        }
        services.forEach { assertTrue(cluster.submit(it), it.jobId) }
        cluster.await("services run", 60) { services.all { cluster.history.runningCount(it.jobId) == it.taskCount } }
        val placedAt = cluster.now()
        cluster.assertAccepted("enable", "fenced-tokens", "--by", "first", "--why", "a test")
        cluster.assertAccepted("enable", "dense-pages", "--by", "first", "--why", "a test")
        cluster.assertRefused("there is no feature", "enable", "denser-pages", "--by", "first", "--why", "a test")
        cluster.assertRefused("alive", "exclude", "n1", "--why", "a test")
        cluster.assertRefused("drain it first", "ready", "n0")
        cluster.awaitGate("fenced-tokens", "enabled")
        for (controller in cluster.labels.indices) {
            if (earlierClassPath !=
                null
            ) {
                assertTrue(
                    "feature dense-pages: dormant" in cluster.status() && cluster.allPagesAre(dense = false),
                    cluster.status(),
                )
            }
            upgraded.add(controller)
            val startedAt = cluster.now()
            cluster.replace(controller)
            val lostMs = services.sumOf { cluster.history.lostMs(it.jobId, it.taskCount, startedAt, cluster.now()) }
            log.info(
                "{} replaced in {} ms; replica time lost: {} ms",
                cluster.labels[controller],
                cluster.now() - startedAt,
                lostMs,
            )
        }
        val lastUpgradeAt = cluster.now()
        cluster.awaitGate("dense-pages", "enabled")
        log.info("dense-pages enabled {} ms after the last upgrade", cluster.now() - lastUpgradeAt)
        cluster.await("all pages are dense", 30) { cluster.allPagesAre(dense = true) }
        log.info("all pages migrated {} ms after the last upgrade", cluster.now() - lastUpgradeAt)
        val array = World.spec("wk-000010", mapOf("team" to "a", "tasks" to "20", "run" to "3"))
        assertTrue(cluster.submit(array))
        cluster.kill(1)
        cluster.start(1)
        cluster.await("the array is done", 60) { cluster.jobState("wk-000010") == "done" }
        rollBack(cluster)
        services.forEach { assertEquals(it.taskCount, cluster.history.startCount(it.jobId), "starts of ${it.jobId}") }
        val lostMs = services.sumOf { cluster.history.lostMs(it.jobId, it.taskCount, placedAt, cluster.now()) }
        log.info("replica time lost in {} ms: {} ms", cluster.now() - placedAt, lostMs)
        assertEquals(0L, lostMs)
        assertEquals(emptyList<String>(), cluster.violations())
    }

    /**
     * The earlier version exits by itself when it is started too soon; after dense-pages is reverted, it serves again.
     */
    private fun rollBack(cluster: LoopbackCluster) {
        if (earlierClassPath != null) {
            upgraded.remove(2)
            cluster.kill(2)
            cluster.start(2)
            cluster.await("n2 ends by itself", 30) { cluster.exitCode(2) != null }
            assertEquals(3, cluster.exitCode(2))
            assertTrue("the cluster requires version 3" in cluster.log(2))
        }
        cluster.assertRefused(
            "must be taken back first",
            "revert",
            "fenced-tokens",
            "--by",
            "second",
            "--why",
            "a test",
        )
        cluster.assertAccepted("revert", "dense-pages", "--by", "second", "--why", "a test")
        cluster.awaitGate("dense-pages", "dormant")
        assertTrue(cluster.allPagesAre(dense = false))
        if (earlierClassPath != null) cluster.start(2)
        cluster.await("n2 serves", 30) { cluster.isBack("n2") }
        assertNull(cluster.exitCode(2))
    }
}
