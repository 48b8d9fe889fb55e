package io.reedmast.loopback

import io.reedmast.persistence.DensePages
import io.reedmast.sim.World
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.slf4j.LoggerFactory

/**
 * Three controllers as real processes are drained, killed, replaced and rolled back under load, directed by `reedmast
 * rollout` as an operator would. Services stay placed, no task runs in two places, and no stored form is one that a
 * controller that counts cannot read.
 *
 * The variable OLD_CLASS_PATH names an earlier version that knows the rollout and not dense pages, as a program built
 * from our history. Without it, as in CI, the same version stands for it, and only what depends on the difference is
 * left out.
 */
class LoopbackRolloutTest {
    private val log = LoggerFactory.getLogger("loopback")
    private val today = System.getProperty("java.class.path")
    private val earlier: String? = System.getenv("OLD_CLASS_PATH")
    private val upgraded = HashSet<Int>()

    private fun cluster() = LoopbackCluster(controllers = 3, machines = 8) {
        if (it in upgraded ||
            earlier == null
        ) {
            today
        } else {
            earlier
        }
    }

    private fun LoopbackCluster.act(vararg arguments: String) {
        val (code, output) = rollout(*arguments)
        assertEquals(0, code, "${arguments.toList()}: $output")
    }

    private fun LoopbackCluster.refused(reason: String, vararg arguments: String) {
        val (code, output) = rollout(*arguments)
        assertEquals(1, code, "${arguments.toList()}: $output")
        assertTrue(reason in output, output)
    }

    private fun LoopbackCluster.status(): String = rollout("status").second

    private fun LoopbackCluster.awaitGate(feature: String, state: String) = await("$feature $state", 30) {
        "feature $feature: $state" in
            status()
    }

    private fun LoopbackCluster.pagesAre(dense: Boolean) = stored("page/").let { pages ->
        pages.isNotEmpty() &&
            pages.all { DensePages.isDense(it.value) == dense }
    }

    private fun LoopbackCluster.replace(controller: Int) {
        act("drain", labels[controller], "--why", "it is replaced")
        await("${labels[controller]} is drained", 30) { rollout("ready", labels[controller]).first == 0 }
        kill(controller)
        start(controller)
        await("${labels[controller]} is back", 30) { isBack(labels[controller]) }
    }

    /** For some seconds the key of the process that was killed is still there, and says that it is being drained. */
    private fun LoopbackCluster.isBack(label: String) = status().lines().any {
        it.startsWith("controller $label: versions") &&
            "draining" !in it
    }

    @Test
    fun `controllers are replaced one at a time, features rolled out and taken back`() = cluster().use { cluster ->
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
        cluster.await("services run", 60) { services.all { cluster.history.running(it.jobId) == it.taskCount } }
        val placedAt = cluster.now()
        cluster.act("enable", "fenced-tokens", "--by", "first", "--why", "a test")
        cluster.act("enable", "dense-pages", "--by", "first", "--why", "a test")
        cluster.refused("there is no feature", "enable", "denser-pages", "--by", "first", "--why", "a test")
        cluster.refused("alive", "exclude", "n1", "--why", "a test")
        cluster.refused("drain it first", "ready", "n0")
        cluster.awaitGate("fenced-tokens", "enabled")
        for (controller in cluster.labels.indices) {
            if (earlier !=
                null
            ) {
                assertTrue(
                    "feature dense-pages: dormant" in cluster.status() && cluster.pagesAre(dense = false),
                    cluster.status(),
                )
            }
            upgraded.add(controller)
            val from = cluster.now()
            cluster.replace(controller)
            val lost = services.sumOf { cluster.history.lostMs(it.jobId, it.taskCount, from, cluster.now()) }
            log.info(
                "{} replaced in {} ms; replica time lost: {} ms",
                cluster.labels[controller],
                cluster.now() - from,
                lost,
            )
        }
        val lastUpgradeAt = cluster.now()
        cluster.awaitGate("dense-pages", "enabled")
        log.info("enabled {} ms after the last upgrade", cluster.now() - lastUpgradeAt)
        cluster.await("all pages are dense", 30) { cluster.pagesAre(dense = true) }
        log.info("migrated {} ms after the last upgrade", cluster.now() - lastUpgradeAt)
        val array = World.spec("wk-000010", mapOf("team" to "a", "tasks" to "20", "run" to "3"))
        assertTrue(cluster.submit(array))
        cluster.kill(1)
        cluster.start(1)
        cluster.await("the array is done", 60) { cluster.stageOf("wk-000010") == "done" }
        rollBack(cluster)
        services.forEach { assertEquals(it.taskCount, cluster.history.starts(it.jobId), "starts of ${it.jobId}") }
        val lost = services.sumOf { cluster.history.lostMs(it.jobId, it.taskCount, placedAt, cluster.now()) }
        log.info("replica time lost in {} ms: {} ms", cluster.now() - placedAt, lost)
        assertEquals(0L, lost)
        assertEquals(emptyList<String>(), cluster.broken())
    }

    /** An earlier version is started too soon and ends by itself; after the features are taken back it serves again. */
    private fun rollBack(cluster: LoopbackCluster) {
        if (earlier != null) {
            upgraded.remove(2)
            cluster.kill(2)
            cluster.start(2)
            cluster.await("n2 ends by itself", 30) { cluster.exitCode(2) != null }
            assertEquals(3, cluster.exitCode(2))
            assertTrue("the cluster requires version 3" in cluster.log(2))
        }
        cluster.refused("must be taken back first", "revert", "fenced-tokens", "--by", "second", "--why", "a test")
        cluster.act("revert", "dense-pages", "--by", "second", "--why", "a test")
        cluster.awaitGate("dense-pages", "dormant")
        assertTrue(cluster.pagesAre(dense = false))
        if (earlier != null) cluster.start(2)
        cluster.await("n2 serves", 30) { cluster.isBack("n2") }
        assertNull(cluster.exitCode(2))
    }
}
