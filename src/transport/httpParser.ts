/** An incremental HTTP/1.1 parser for requests and responses with limits on the size of heads and bodies. */

/** A complete request or response. */
export interface HttpMessage {
  /** `method` and `target` are set for requests, `status` for responses. */
  method: string;
  target: string;
  status: number;
  headers: ReadonlyMap<string, string>;
  body: string;
  keepAlive: boolean;
}

/** A message that violates HTTP or exceeds a limit; `status` is the status code of the response to it. */
export class HttpError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

const HEAD_LIMIT = 16 * 1024;
const HEAD_END = Buffer.from('\r\n\r\n');
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

type State = 'head' | 'length' | 'chunk-size' | 'chunk-data' | 'trailer' | 'until-close';

/** Parses the byte stream of one connection into messages (RFC 9112). */
export class HttpParser {
  private buffer: Buffer = Buffer.alloc(0);
  private state: State = 'head';
  private message: HttpMessage | null = null;
  private bodyParts: Buffer[] = [];
  private bytesRemaining = 0;
  private bodyLength = 0;
  /** The last head and its parsed form; on a keep-alive connection the next head is usually identical. */
  private lastHead: { head: string; message: HttpMessage } | null = null;

  constructor(
    private readonly kind: 'request' | 'response',
    /** Maximum bytes of a body; for requests it may depend on the target. */
    private readonly bodyLimit: number | ((target: string) => number),
  ) {}

  /** True between messages, before any byte of the next one has arrived. */
  get isIdle(): boolean {
    return this.state === 'head' && this.buffer.length === 0;
  }

  /** Parses more bytes and returns the messages that they complete. Throws HttpError on malformed input. */
  push(data: Buffer): HttpMessage[] {
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    const done: HttpMessage[] = [];
    while (this.step(done));
    return done;
  }

  /** Handles the end of the stream, which completes a response without a length. */
  end(): HttpMessage | null {
    if (this.state !== 'until-close' || this.message === null) return null;
    this.bodyParts.push(this.buffer);
    const message = this.message;
    message.body = Buffer.concat(this.bodyParts).toString('utf8');
    message.keepAlive = false;
    this.reset();
    return message;
  }

  private step(done: HttpMessage[]): boolean {
    switch (this.state) {
      case 'head':
        return this.readHead(done);
      case 'length':
      case 'chunk-data':
        return this.readData(done);
      case 'chunk-size':
        return this.readChunkSize();
      case 'trailer':
        return this.readTrailer(done);
      case 'until-close':
        this.addToBodyLength(this.buffer.length);
        this.bodyParts.push(this.buffer);
        this.buffer = Buffer.alloc(0);
        return false;
    }
  }

  private readHead(done: HttpMessage[]): boolean {
    // RFC 9112 asks servers to ignore blank lines before a request line.
    while (this.buffer.length >= 2 && this.buffer[0] === 13 && this.buffer[1] === 10) {
      this.buffer = this.buffer.subarray(2);
    }
    const end = this.buffer.indexOf(HEAD_END);
    if (end < 0) {
      if (this.buffer.length > HEAD_LIMIT) throw new HttpError(431, 'header too large');
      return false;
    }
    if (end > HEAD_LIMIT) throw new HttpError(431, 'header too large');
    const head = this.buffer.toString('latin1', 0, end);
    this.buffer = this.buffer.subarray(end + HEAD_END.length);
    if (this.lastHead?.head !== head) this.lastHead = { head, message: this.parseHead(head) };
    // Only the body and keepAlive are assigned later, so the headers can be shared.
    const message = { ...this.lastHead.message };
    this.message = message;
    this.selectBodyState(message, done);
    return this.buffer.length > 0;
  }

  private parseHead(head: string): HttpMessage {
    const lines = head.split('\r\n');
    const headers = new Map<string, string>();
    const message = this.parseStart(lines[0] ?? '', headers);
    for (const line of lines.slice(1)) {
      const colon = line.indexOf(':');
      const name = line.slice(0, colon).toLowerCase();
      if (colon <= 0 || !TOKEN.test(name)) throw new HttpError(400, 'malformed header');
      const value = line.slice(colon + 1).trim();
      if (name === 'content-length' && (headers.get(name) ?? value) !== value) {
        throw new HttpError(400, 'conflicting content-length');
      }
      headers.set(name, value);
    }
    const connection = (headers.get('connection') ?? '').toLowerCase();
    if (connection.includes('close')) message.keepAlive = false;
    if (connection.includes('keep-alive')) message.keepAlive = true;
    return message;
  }

  private parseStart(line: string, headers: Map<string, string>): HttpMessage {
    const base = { headers, body: '' };
    if (this.kind === 'request') {
      const match = /^([A-Z]{1,16}) (\S{1,4096}) HTTP\/1\.([01])$/.exec(line);
      if (match === null) throw new HttpError(400, 'malformed request line');
      const [, method = '', target = '', minor] = match;
      return { ...base, method, target, status: 0, keepAlive: minor === '1' };
    }
    const match = /^HTTP\/1\.([01]) ([1-5]\d\d)(?: .*)?$/.exec(line);
    if (match === null) throw new HttpError(400, 'malformed status line');
    return {
      ...base,
      method: '',
      target: '',
      status: Number(match[2]),
      keepAlive: match[1] === '1',
    };
  }

  private selectBodyState(message: HttpMessage, done: HttpMessage[]): void {
    const coding = message.headers.get('transfer-encoding');
    const length = message.headers.get('content-length');
    if (coding !== undefined) {
      // Transfer-Encoding together with Content-Length allows request smuggling, so it is rejected.
      if (coding.toLowerCase() !== 'chunked' || length !== undefined) {
        throw new HttpError(400, 'unsupported transfer-encoding');
      }
      this.state = 'chunk-size';
    } else if (length !== undefined) {
      if (!/^\d{1,15}$/.test(length)) throw new HttpError(400, 'bad content-length');
      this.bytesRemaining = Number(length);
      this.addToBodyLength(this.bytesRemaining);
      if (this.bytesRemaining === 0) this.finish(done);
      else this.state = 'length';
    } else if (this.kind === 'response' && message.status !== 204 && message.status !== 304) {
      this.state = 'until-close';
    } else {
      this.finish(done);
    }
  }

  private readData(done: HttpMessage[]): boolean {
    if (this.buffer.length === 0) return false;
    const data = this.buffer.subarray(0, this.bytesRemaining);
    this.buffer = this.buffer.subarray(data.length);
    this.bytesRemaining -= data.length;
    this.bodyParts.push(data);
    if (this.bytesRemaining > 0) return false;
    if (this.state === 'length') this.finish(done);
    else this.state = 'chunk-size';
    return this.buffer.length > 0;
  }

  private readLine(): string | null {
    const end = this.buffer.indexOf('\r\n');
    if (end < 0) {
      if (this.buffer.length > HEAD_LIMIT) throw new HttpError(400, 'line too long');
      return null;
    }
    const line = this.buffer.toString('latin1', 0, end);
    this.buffer = this.buffer.subarray(end + 2);
    return line;
  }

  private readChunkSize(): boolean {
    const line = this.readLine();
    if (line === null) return false;
    // A line break terminates a chunk's data and precedes the next chunk size.
    if (line === '' && this.bodyParts.length > 0) return this.buffer.length > 0;
    const match = /^([0-9a-fA-F]{1,8})(?:;.*)?$/.exec(line);
    if (match === null) throw new HttpError(400, 'bad chunk size');
    this.bytesRemaining = parseInt(match[1] ?? '', 16);
    this.addToBodyLength(this.bytesRemaining);
    this.state = this.bytesRemaining === 0 ? 'trailer' : 'chunk-data';
    return this.buffer.length > 0;
  }

  private readTrailer(done: HttpMessage[]): boolean {
    const line = this.readLine();
    if (line === null) return false;
    if (line === '') this.finish(done);
    return this.buffer.length > 0;
  }

  private addToBodyLength(bytes: number): void {
    this.bodyLength += bytes;
    const { bodyLimit } = this;
    const limit = typeof bodyLimit === 'number' ? bodyLimit : bodyLimit(this.message?.target ?? '');
    if (this.bodyLength > limit) throw new HttpError(413, 'body too large');
  }

  private finish(done: HttpMessage[]): void {
    if (this.message === null) return;
    this.message.body =
      this.bodyParts.length === 0 ? '' : Buffer.concat(this.bodyParts).toString('utf8');
    done.push(this.message);
    this.reset();
  }

  private reset(): void {
    this.state = 'head';
    this.message = null;
    this.bodyParts = [];
    this.bytesRemaining = 0;
    this.bodyLength = 0;
  }
}
