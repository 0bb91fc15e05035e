/** A binary heap: the least element first. */
export class Heap<T> {
  private readonly items: T[] = [];

  constructor(private readonly compare: (a: T, b: T) => number) {}

  get size(): number {
    return this.items.length;
  }

  /** The least element, which stays. */
  peek(): T | undefined {
    return this.items[0];
  }

  push(item: T): void {
    const { items } = this;
    let at = items.push(item) - 1;
    while (at > 0) {
      const up = (at - 1) >> 1;
      if (this.compare(items[up] as T, item) <= 0) break;
      items[at] = items[up] as T;
      at = up;
    }
    items[at] = item;
  }

  pop(): T | undefined {
    const { items } = this;
    const first = items[0];
    const last = items.pop();
    if (first === undefined || last === undefined || items.length === 0) return first;
    let at = 0;
    for (;;) {
      let down = 2 * at + 1;
      if (down >= items.length) break;
      if (down + 1 < items.length && this.compare(items[down + 1] as T, items[down] as T) < 0)
        down++;
      if (this.compare(last, items[down] as T) <= 0) break;
      items[at] = items[down] as T;
      at = down;
    }
    items[at] = last;
    return first;
  }
}
