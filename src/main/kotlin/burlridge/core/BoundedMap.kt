package burlridge.core

/** A map that keeps at most [capacity] entries: the one longest unused goes first. */
internal class BoundedMap<K, V>(
    private val capacity: Int,
) {
    private val entries =
        object : LinkedHashMap<K, V>(INITIAL, LOAD, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > capacity
        }
    val size: Int get() = entries.size

    operator fun get(key: K): V? = entries[key]

    operator fun set(
        key: K,
        value: V,
    ) {
        entries[key] = value
    }

    private companion object {
        const val INITIAL = 16
        const val LOAD = 0.75f
    }
}
