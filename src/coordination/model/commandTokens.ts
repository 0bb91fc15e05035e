/**
 * Assigns the fencing tokens under which commands are sent to one machine. Only this module decides whether an acknowledgement
 * may be sent, and under which token: a higher one than that of every message with a start, so that the worker refuses each
 * later copy of such a message (safety, T3).
 */
import type { Command, CommandToken } from '../../protocol/workerProtocol.js';
import type { FencingTokenBlock } from './fencingTokenBlock.js';

/** Commands that are sent to a worker in one message, and the fencing token of the message. */
export interface CommandBatch {
  readonly token: CommandToken;
  readonly commands: Command[];
  /** The highest token under which a start was sent to this machine before; -Infinity if none was. */
  readonly startToken: number;
}

const isAcknowledgement = ({ verb }: Command): boolean => verb === 'acknowledge';

/** The fencing tokens that one leadership has used for one machine. */
export class CommandTokens {
  /** The token of the newest message. */
  private currentToken = 0;
  /** The highest token of a message with a start. */
  private highestStartToken = -Infinity;

  /**
   * Assigns a token to a message, and removes acknowledgements that may not be sent with it. `seenToken`: the highest token that
   * the worker is known to have seen; `mayRaise`: false while a higher token would make the worker refuse another message that
   * is in flight.
   */
  assignToken(
    commands: readonly Command[],
    block: FencingTokenBlock,
    { seenToken, mayRaise }: { seenToken: number; mayRaise: boolean },
  ): CommandBatch {
    this.adoptSeenToken(block, seenToken);
    const startToken = this.highestStartToken;
    const mustRaise = startToken >= this.currentToken;
    const withholdsAcknowledgements = mustRaise && (!mayRaise || this.isExhausted(block));
    const sendable = commands.filter(
      (command) => !withholdsAcknowledgements || !isAcknowledgement(command),
    );
    if (sendable.some(isAcknowledgement))
      this.currentToken = Math.max(this.currentToken, startToken + 1);
    if (sendable.some(({ verb }) => verb === 'start')) this.highestStartToken = this.currentToken;
    return { token: this.currentToken as CommandToken, commands: sendable, startToken };
  }

  /** Raises the token of the next message above that of every start, if the block has such a token. */
  raiseToken(block: FencingTokenBlock): void {
    if (!this.isExhausted(block))
      this.currentToken = Math.max(this.currentToken, this.highestStartToken + 1);
  }

  /** Whether the block has no token above that of every start, so that another block is needed. */
  isExhausted(block: FencingTokenBlock): boolean {
    return this.highestStartToken >= block.last;
  }

  /**
   * Adopts the token that the worker has seen. It can be higher than the current one if this node has dropped the machine's
   * state in the meantime; starts may then have been sent under it.
   */
  private adoptSeenToken(block: FencingTokenBlock, seenToken: number): void {
    this.currentToken = Math.max(this.currentToken, block.first);
    if (seenToken <= this.currentToken || block.isSurpassedBy(seenToken)) return;
    this.currentToken = seenToken;
    this.highestStartToken = seenToken;
  }
}
