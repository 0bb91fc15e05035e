/** HTTP for the stand-ins: a server with JSON replies, and a client with a time limit. */
import http from 'node:http';

/** A reply: its status and its JSON body. Null: the request is never answered. */
export type JsonReply = { status: number; body: unknown; headers?: Record<string, string> } | null;

/** A received request. */
export interface JsonRequest {
  method: string;
  url: URL;
  text: string;
}

/** A request body may be at most 64 KiB (PROTOCOL). */
export const MAX_BODY = 64 * 1024;

function readBody(stream: http.IncomingMessage): Promise<string> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    stream.on('data', (part: Buffer) => parts.push(part));
    stream.on('end', () => {
      resolve(Buffer.concat(parts).toString('utf8'));
    });
    stream.on('error', reject);
  });
}

/** A JSON server on a free loopback port. PROTOCOL limits bodies to 64 KiB. */
export class JsonServer {
  port = 0;
  private readonly server: http.Server;
  /** Called with the size of each refused body. */
  onTooLarge: ((target: string, bytes: number) => void) | null = null;

  /** `tooLarge`: the status for bodies beyond 64 KiB. */
  constructor(
    handle: (request: JsonRequest) => Promise<JsonReply> | JsonReply,
    private readonly tooLarge = 413,
  ) {
    this.server = http.createServer({ keepAliveTimeout: 0 }, (request, response) => {
      void this.serve(request, response, handle).catch(() => {
        response.destroy();
      });
    });
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    handle: (request: JsonRequest) => Promise<JsonReply> | JsonReply,
  ): Promise<void> {
    const text = await readBody(request);
    const target = request.url ?? '/';
    const bytes = Buffer.byteLength(text);
    if (bytes > MAX_BODY) this.onTooLarge?.(target, bytes);
    const url = new URL(target, 'http://stand-in');
    const reply =
      bytes > MAX_BODY
        ? { status: this.tooLarge, body: { error: 'the body is too large' } }
        : await handle({ method: request.method ?? 'GET', url, text });
    if (reply === null) return;
    const body = JSON.stringify(reply.body);
    response.writeHead(reply.status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(body),
    });
    response.end(body);
  }

  /** Starts to listen. */
  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        const address = this.server.address();
        this.port = typeof address === 'object' && address !== null ? address.port : 0;
        resolve(this.port);
      });
    });
  }

  /** Stops, and closes all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** An answer that a client received. */
export interface JsonAnswer {
  status: number;
  text: string;
  body: unknown;
}

/** Sends one request; null if no complete answer came in time. */
export function request(
  agent: http.Agent,
  endpoint: string,
  method: string,
  path: string,
  body: unknown,
  seconds: number,
): Promise<JsonAnswer | null> {
  const [host, port] = endpoint.split(':');
  const text = body === undefined ? '' : JSON.stringify(body);
  return new Promise((resolve) => {
    const call = http.request(
      {
        agent,
        host,
        port: Number(port),
        method,
        path,
        headers: { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) },
      },
      (response) => {
        readBody(response)
          .then((received) => {
            clearTimeout(timer);
            let parsed: unknown = null;
            try {
              parsed = JSON.parse(received);
            } catch {
              parsed = null;
            }
            resolve({ status: response.statusCode ?? 0, text: received, body: parsed });
          })
          .catch(() => {
            resolve(null);
          });
      },
    );
    const timer = setTimeout(() => {
      call.destroy();
      resolve(null);
    }, seconds * 1000);
    call.on('error', () => {
      clearTimeout(timer);
      resolve(null);
    });
    call.end(text);
  });
}
