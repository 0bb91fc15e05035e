/** A binary heap. */

/** A priority queue ordered by `compare`: the smallest element is removed first. */
export class Heap<T> {
  private readonly items: T[] = [];

  constructor(private readonly compare: (a: T, b: T) => number) {}

  /** Returns the smallest element without removing it; undefined if the heap is empty. */
  peek(): T | undefined {
    return this.items[0];
  }

  /** Inserts an element. */
  push(item: T): void {
    const { items } = this;
    let index = items.push(item) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.compare(items[parent] as T, item) <= 0) break;
      items[index] = items[parent] as T;
      index = parent;
    }
    items[index] = item;
  }

  /** Removes and returns the smallest element; undefined if the heap is empty. */
  pop(): T | undefined {
    const { items } = this;
    const first = items[0];
    const last = items.pop();
    if (first === undefined || last === undefined || items.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= items.length) break;
      if (child + 1 < items.length && this.compare(items[child + 1] as T, items[child] as T) < 0)
        child++;
      if (this.compare(last, items[child] as T) <= 0) break;
      items[index] = items[child] as T;
      index = child;
    }
    items[index] = last;
    return first;
  }
}
