/** The routes of commands to a worker, and their outcomes. */

/** The route of a command: a request to the worker (`command`), or the answer to its heartbeat (`answer`). */
export type CommandRoute = 'command' | 'answer';

/**
 * The outcome of a request with commands: `executed` by the worker, `refused` by it, `unsent` (nothing can have arrived),
 * or `unanswered` (it may have been executed, or may still be).
 */
export type CommandOutcome = 'executed' | 'refused' | 'unsent' | 'unanswered';
