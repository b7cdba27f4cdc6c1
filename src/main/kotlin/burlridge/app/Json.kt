package burlridge.app

import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ArrayNode
import com.fasterxml.jackson.databind.node.JsonNodeFactory
import com.fasterxml.jackson.databind.node.ObjectNode

/** The one JSON reader and writer; trees only, so that no class is inspected at run time. */
internal object Json {
    private val mapper = ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)

    fun parse(text: String): JsonNode = mapper.readTree(text)

    /** Null for anything that is not JSON: outsiders' rubbish is an unknown answer, never a crash. */
    fun parseOrNull(text: String?): JsonNode? =
        try {
            if (text.isNullOrBlank()) null else mapper.readTree(text)
        } catch (_: Exception) {
            null
        }

    fun write(node: JsonNode): String = mapper.writeValueAsString(node)

    fun obj(fill: ObjectNode.() -> Unit = {}): ObjectNode = JsonNodeFactory.instance.objectNode().apply(fill)

    fun arr(fill: ArrayNode.() -> Unit = {}): ArrayNode = JsonNodeFactory.instance.arrayNode().apply(fill)
}
