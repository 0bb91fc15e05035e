/** The images that a machine has seen, as a worker's least-recently-used cache keeps them. */
export class ImageCache {
  /** Sizes in GB by image, least recently used first. */
  private readonly sizes = new Map<string, number>();

  /** Whether the machine should still hold the image. */
  has(image: string): boolean {
    return this.sizes.has(image);
  }

  /** Records a use of an image of `sizeGb`, and drops the least recently used beyond the capacity. */
  noteUse(image: string, sizeGb: number, capacityGb: number): void {
    this.sizes.delete(image);
    this.sizes.set(image, sizeGb);
    let total = 0;
    for (const size of this.sizes.values()) total += size;
    for (const [oldest, size] of this.sizes) {
      if (total <= capacityGb || this.sizes.size === 1) break;
      this.sizes.delete(oldest);
      total -= size;
    }
  }
}
