/** Messages that were carried out and answered, and of which the network delivers a copy once more, perhaps after a restart of their sender. */

/** Which messages are copied, and how late their copies are. */
export interface MessageDuplication {
  /** Of the answered messages, those of which a copy comes. */
  readonly share: number;
  /** Seconds until a copy comes. */
  readonly delay: () => number;
  readonly random: () => number;
}

/** Has a copy of a message delivered later, where it is drawn. */
export function maybeDeliverDuplicate(
  copies: MessageDuplication | null,
  deliver: () => unknown,
): void {
  if (copies === null || copies.random() >= copies.share) return;
  setTimeout(deliver, copies.delay() * 1000).unref();
}
