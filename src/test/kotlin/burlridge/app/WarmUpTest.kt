package burlridge.app

import burlridge.settings.Settings
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

internal class WarmUpTest {
    @Test
    fun `the warm-up places tasks and sends commands to workers`() {
        val warmUp = WarmUp(Settings.parse(ClassArchiveTraining.settings()))
        warmUp.run()
        assertTrue(warmUp.counters.getValue("intent.starts") > 10, "${warmUp.counters}")
        assertTrue(warmUp.counters.getValue("worker.commands") > 5, "${warmUp.counters}")
    }
}
