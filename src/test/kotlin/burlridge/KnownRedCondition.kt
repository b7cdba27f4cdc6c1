package burlridge

import org.junit.jupiter.api.extension.ConditionEvaluationResult
import org.junit.jupiter.api.extension.ExecutionCondition
import org.junit.jupiter.api.extension.ExtensionContext
import java.nio.file.Path
import kotlin.io.path.readLines

/**
 * Passes over the tests that KNOWN-RED.txt names in a line `test: Class.method`, and prints each. Names must match exactly. To run them
 * all the same: `mvn test -Dtest=Class -DknownRed=run`.
 */
internal class KnownRedCondition : ExecutionCondition {
    override fun evaluateExecutionCondition(context: ExtensionContext): ConditionEvaluationResult {
        val method = context.testMethod.orElse(null) ?: return ENABLED
        val name = "${method.declaringClass.simpleName}.${method.name}"
        if (name !in KNOWN_RED || System.getProperty("knownRed") == "run") return ENABLED
        println("KNOWN RED, passed over: $name")
        return ConditionEvaluationResult.disabled("KNOWN-RED.txt")
    }

    private companion object {
        const val TEST_LINE = "test: "
        val ENABLED: ConditionEvaluationResult = ConditionEvaluationResult.enabled("not in KNOWN-RED.txt")
        val KNOWN_RED: Set<String> =
            Path
                .of("KNOWN-RED.txt")
                .readLines()
                .map { it.trim() }
                .filter { it.startsWith(TEST_LINE) }
                .mapTo(HashSet()) { it.removePrefix(TEST_LINE) }
    }
}
