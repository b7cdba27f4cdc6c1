package burlridge.fuzz

import kotlin.random.Random

/** Derives hostile inputs from valid examples, by mutation; the seed determines them all. */
internal class InputMutator(
    private val random: Random,
) {
    /** Returns [text], a JSON text or a part of an HTTP head, with one to four mutations. */
    fun mutate(text: String): String {
        var mutated = text
        repeat(1 + random.nextInt(MAX_MUTATIONS)) { mutated = mutateOnce(mutated) }
        return mutated.take(MAX_LENGTH)
    }

    private fun mutateOnce(text: String): String {
        if (text.isEmpty()) return HOSTILE_VALUES.random(random)
        val at = random.nextInt(text.length)
        return when (random.nextInt(MUTATION_KINDS)) {
            0 -> text.removeRange(at, minOf(text.length, at + 1 + random.nextInt(MAX_RUN)))
            1 -> text.substring(0, at) + HOSTILE_CHARACTERS.random(random) + text.substring(at)
            2 -> text.substring(0, at)
            3 -> text.substring(0, at) + text.substring(at / 2, at).repeat(1 + random.nextInt(2)) + text.substring(at)
            else -> replaceValue(text)
        }
    }

    /** Replaces a value of JSON, a text with its quotes or a number, by a hostile one. */
    private fun replaceValue(text: String): String {
        val value = VALUE.findAll(text).toList().randomOrNull(random) ?: return text
        return text.replaceRange(value.groups[1]!!.range, HOSTILE_VALUES.random(random))
    }

    /** Returns [bytes] with one to four bytes replaced, removed or inserted. */
    fun mutate(bytes: ByteArray): ByteArray {
        val mutated = bytes.toMutableList()
        repeat(1 + random.nextInt(MAX_MUTATIONS)) {
            val at = random.nextInt(mutated.size + 1)
            val value = (if (random.nextBoolean()) random.nextInt(BYTE_VALUES) else HOSTILE_BYTES.random(random)).toByte()
            when {
                at == mutated.size || random.nextInt(2) == 0 -> mutated.add(at, value)
                mutated.size > 1 && random.nextInt(2) == 0 -> mutated.removeAt(at)
                else -> mutated[at] = value
            }
        }
        return mutated.toByteArray()
    }

    internal companion object {
        private const val MAX_MUTATIONS = 4
        private const val MUTATION_KINDS = 10
        private const val MAX_RUN = 12
        private const val BYTE_VALUES = 256
        private const val MAX_LENGTH = 65_000
        private const val LONG_TEXT = 20_000
        private const val DEPTH = 900
        private val HOSTILE_BYTES = listOf(0, 0x7f, 0x80, 0xc0, 0xed, 0xf8, 0xff)

        /** A value in an object or array, with nothing around it. */
        private val VALUE = Regex("""[:\[,]\s*("[^"]*"|-?\d[\d.eE+-]*|true|false|null)""")
        private val HOSTILE_CHARACTERS =
            listOf(
                "\u0000",
                "\n",
                "\r\n",
                "\"",
                "\\",
                "\\ud83d",
                "\\u0000",
                "\u202e",
                "\uffff",
                "{",
                "}",
                "[",
                "]",
                ",",
                ":",
                "%00",
                "../",
                " ",
                "\ud83d",
            )

        /** Replacements for a JSON value: numbers of every size, texts of every Unicode kind, other types, long and deep ones. */
        private val HOSTILE_VALUES: List<String> =
            listOf(
                "null",
                "true",
                "false",
                "{}",
                "[]",
                "\"\"",
                "\"x\"",
                "-1",
                "0",
                "-0.0",
                "1.5",
                "1e400",
                "-1e400",
                "1e-400",
                "0.1e1",
                "NaN",
                "2147483647",
                "2147483648",
                "4294967297",
                "9223372036854775807",
                "9223372036854775808",
                "-9223372036854775808",
                "18446744073709551615",
                "18446744073709551617",
                "1" + "0".repeat(400),
                "1" + "0".repeat(1_200),
                "1e99999999999",
                "\"\\ud83d\"",
                "\"\\ude00\\ud83d\"",
                "\"\\ud83d\\ude00\"",
                "\"\\u0000\"",
                "\"\\n\"",
                "\"\u202e\"",
                "\"\ufeff\"",
                "\"a/b c\"",
                "\"..\"",
                "\"j-000001\"",
                "\"j-000001/99999999999\"",
                "\"j-000001/-1\"",
                "\":0\"",
                "\"256.1.1.1:1\"",
                "\"no such host:1\"",
                "\"running\"",
                "\"" + "x".repeat(LONG_TEXT) + "\"",
                "\"" + "\u00e9".repeat(201) + "\"",
                "[".repeat(DEPTH) + "]".repeat(DEPTH),
                "[" + "0,".repeat(LONG_TEXT / 2) + "0]",
            )
    }
}
