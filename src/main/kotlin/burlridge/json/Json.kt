package burlridge.json

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ArrayNode
import com.fasterxml.jackson.databind.node.ContainerNode
import com.fasterxml.jackson.databind.node.JsonNodeFactory
import com.fasterxml.jackson.databind.node.ObjectNode
import java.io.IOException
import java.io.StringWriter

/**
 * Reads and writes JSON as trees. It uses Jackson's parser, generator and nodes but no `ObjectMapper`, whose static initialization (date
 * formats, locales, serializers) took a tenth of a controller's startup time.
 */
internal object Json {
    private val factory = JsonFactory()
    private val nodes = JsonNodeFactory.instance

    /** Parses [text], which must hold exactly one JSON value. Throws [IOException] if it does not. */
    fun parse(text: String): JsonNode =
        factory.createParser(text).use { parser ->
            parser.nextToken() ?: throw IOException("there is nothing")
            val node = TreeReader(parser).read()
            if (parser.nextToken() != null) throw IOException("there is more after the first value")
            node
        }

    /** Parses [text]; returns null if it is null, blank or not a JSON value, since malformed input must never crash a controller. */
    fun parseOrNull(text: String?): JsonNode? =
        try {
            if (text.isNullOrBlank()) null else parse(text)
        } catch (_: IOException) {
            null
        }

    /** Returns [node] as compact JSON text. */
    fun write(node: JsonNode): String {
        val text = StringWriter()
        factory.createGenerator(text).use { write(node, it) }
        return text.toString()
    }

    /** Recursion is safe: only trees that the controller builds are written, and they are a few levels deep. */
    private fun write(
        node: JsonNode,
        to: JsonGenerator,
    ) {
        when {
            node is ObjectNode -> {
                writeFields(node, to)
            }

            node is ArrayNode -> {
                writeElements(node, to)
            }

            node.isTextual -> {
                to.writeString(node.textValue())
            }

            node.isIntegralNumber -> {
                if (node.canConvertToLong()) to.writeNumber(node.longValue()) else to.writeNumber(node.bigIntegerValue())
            }

            node.isNumber -> {
                to.writeNumber(node.doubleValue())
            }

            node.isBoolean -> {
                to.writeBoolean(node.booleanValue())
            }

            else -> {
                to.writeNull()
            }
        }
    }

    private fun writeFields(
        node: ObjectNode,
        to: JsonGenerator,
    ) {
        to.writeStartObject()
        for ((name, value) in node.properties()) {
            to.writeFieldName(name)
            write(value, to)
        }
        to.writeEndObject()
    }

    private fun writeElements(
        node: ArrayNode,
        to: JsonGenerator,
    ) {
        to.writeStartArray()
        node.forEach { write(it, to) }
        to.writeEndArray()
    }

    /** A new object, filled by [fill]. */
    fun obj(fill: ObjectNode.() -> Unit = {}): ObjectNode = nodes.objectNode().apply(fill)

    /** A new array, filled by [fill]. */
    fun arr(fill: ArrayNode.() -> Unit = {}): ArrayNode = nodes.arrayNode().apply(fill)

    /** Builds a tree without recursion, so that deeply nested input cannot overflow the stack. */
    private class TreeReader(
        private val parser: JsonParser,
    ) {
        private val openContainers = ArrayDeque<ContainerNode<*>>()
        private var fieldName = ""

        fun read(): JsonNode {
            while (true) {
                val completed = consume(parser.currentToken())
                if (completed != null && openContainers.isEmpty()) return completed
                // If the text ends within a value, the parser throws.
                parser.nextToken()
            }
        }

        /** Processes one token; returns the node that it completes, if any. */
        private fun consume(token: JsonToken): JsonNode? {
            when (token) {
                JsonToken.FIELD_NAME -> fieldName = parser.currentName()
                JsonToken.START_OBJECT -> openContainers.addLast(attach(nodes.objectNode()))
                JsonToken.START_ARRAY -> openContainers.addLast(attach(nodes.arrayNode()))
                JsonToken.END_OBJECT, JsonToken.END_ARRAY -> return openContainers.removeLast()
                else -> return attach(scalar(token))
            }
            return null
        }

        /** Adds [node] to the innermost open container; a duplicate field replaces the earlier one. */
        private fun <T : JsonNode> attach(node: T): T {
            when (val parent = openContainers.lastOrNull()) {
                is ObjectNode -> parent.replace(fieldName, node)
                is ArrayNode -> parent.add(node)
                else -> Unit
            }
            return node
        }

        private fun scalar(token: JsonToken): JsonNode =
            when (token) {
                JsonToken.VALUE_STRING -> nodes.textNode(parser.text)
                JsonToken.VALUE_NUMBER_INT -> integer()
                JsonToken.VALUE_NUMBER_FLOAT -> nodes.numberNode(parser.doubleValue)
                JsonToken.VALUE_TRUE -> nodes.booleanNode(true)
                JsonToken.VALUE_FALSE -> nodes.booleanNode(false)
                JsonToken.VALUE_NULL -> nodes.nullNode()
                else -> throw IOException("unexpected $token")
            }

        private fun integer(): JsonNode =
            when (parser.numberType) {
                JsonParser.NumberType.INT -> nodes.numberNode(parser.intValue)
                JsonParser.NumberType.LONG -> nodes.numberNode(parser.longValue)
                else -> nodes.numberNode(parser.bigIntegerValue)
            }
    }
}
