/**
 * The fencing tokens under which one machine is sent commands. This is the one place that decides whether an acknowledgement
 * may leave, and under which token: above that of every message with a start, so that the worker itself refuses each copy of
 * such a message from then on (safety, T3).
 */
import type { Command, CommandToken } from '../../protocol/workerProtocol.js';
import type { FencingTokenBlock } from './fencingTokenBlock.js';

/** Commands that leave for a worker in one message, and the fencing token of the message. */
export interface CommandBatch {
  readonly token: CommandToken;
  readonly commands: Command[];
  /** The highest token under which a start has left for this machine before; -Infinity: none has. */
  readonly startToken: number;
}

const isAcknowledgement = ({ verb }: Command): boolean => verb === 'acknowledge';

/** What one leadership has used of its fencing tokens for one machine. */
export class CommandTokens {
  /** The token of the newest message. */
  private current = 0;
  /** The highest token of a message with a start. */
  private highestStart = -Infinity;

  /**
   * Decides the token of a message, and leaves out acknowledgements that may not go with it. `seenToken`: the highest one that
   * the worker has shown; `mayRaise`: false while another message to the worker would be refused for a higher token.
   */
  assignToken(
    commands: readonly Command[],
    block: FencingTokenBlock,
    { seenToken, mayRaise }: { seenToken: number; mayRaise: boolean },
  ): CommandBatch {
    this.catchUp(block, seenToken);
    const startToken = this.highestStart;
    const needsRaise = startToken >= this.current;
    const withholds = needsRaise && (!mayRaise || this.isExhausted(block));
    const sealed = commands.filter((command) => !withholds || !isAcknowledgement(command));
    if (sealed.some(isAcknowledgement)) this.current = Math.max(this.current, startToken + 1);
    if (sealed.some(({ verb }) => verb === 'start')) this.highestStart = this.current;
    return { token: this.current as CommandToken, commands: sealed, startToken };
  }

  /** Gives the next message a token above that of every start, where the block has one. */
  raiseToken(block: FencingTokenBlock): void {
    if (!this.isExhausted(block)) this.current = Math.max(this.current, this.highestStart + 1);
  }

  /** No token above that of every start is left; another block is needed. */
  isExhausted(block: FencingTokenBlock): boolean {
    return this.highestStart >= block.last;
  }

  /** The worker may be ahead where this node has forgotten the machine meanwhile: starts may have left under what it has seen. */
  private catchUp(block: FencingTokenBlock, seenToken: number): void {
    this.current = Math.max(this.current, block.first);
    if (seenToken <= this.current || block.isSurpassedBy(seenToken)) return;
    this.current = seenToken;
    this.highestStart = seenToken;
  }
}
