/** A model of the least-recently-used image cache of a worker: the images that the machine should still hold. */
export class ImageCache {
  /** Size in GB of each image, least recently used first. */
  private readonly sizes = new Map<string, number>();

  /** Whether the machine should still hold the image. */
  has(image: string): boolean {
    return this.sizes.has(image);
  }

  /** Records the use of an image of `sizeGb`, and evicts the least recently used images beyond the capacity. */
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
