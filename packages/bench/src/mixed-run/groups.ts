/** Groups values by key. */

/** Returns the values of each key in their original order. */
export function groupBy<Value, Key>(values: Iterable<Value>, getKey: (value: Value) => Key): Map<Key, Value[]> {
	const groups = new Map<Key, Value[]>();
	for (const value of values) {
		const key = getKey(value);
		const group = groups.get(key);
		if (group) {
			group.push(value);
		} else {
			groups.set(key, [value]);
		}
	}

	return groups;
}
