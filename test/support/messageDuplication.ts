/** Duplicates of executed and answered messages that the network delivers later, possibly after a restart of the sender. */

/** How often messages are duplicated, and how late the duplicates are delivered. */
export interface MessageDuplication {
  /** Share of the answered messages that are duplicated. */
  readonly share: number;
  /** Draws the seconds until a duplicate is delivered. */
  readonly delay: () => number;
  readonly random: () => number;
}

/** Draws whether a message is duplicated, and schedules the delivery of the duplicate. */
export function maybeDeliverDuplicate(
  duplication: MessageDuplication | null,
  deliver: () => unknown,
): void {
  if (duplication === null || duplication.random() >= duplication.share) return;
  setTimeout(deliver, duplication.delay() * 1000).unref();
}
