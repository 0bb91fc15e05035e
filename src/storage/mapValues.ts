/** Returns a record with the same keys and each value mapped by `change`. */
export const mapValues = <From, To>(
  values: Record<string, From>,
  change: (value: From) => To,
): Record<string, To> =>
  Object.fromEntries(Object.entries(values).map(([name, value]) => [name, change(value)]));
