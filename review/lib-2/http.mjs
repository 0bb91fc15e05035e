// Small helpers around node:http for the stand-ins and the users.
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

/** Serves JSON; `handle` returns [status, body], or null to leave the request without an answer. */
export function serve(host, port, handle) {
  const server = http.createServer({ keepAliveTimeout: 120_000 }, (request, response) => {
    const parts = [];
    request.on('data', (part) => parts.push(part));
    request.on('error', () => undefined);
    request.on('end', async () => {
      const text = Buffer.concat(parts).toString('utf8');
      let answer;
      try {
        const body = text === '' ? undefined : JSON.parse(text);
        answer = await handle(request.method, request.url, body, request.socket);
      } catch (error) {
        answer = [400, { error: String(error) }];
      }
      if (answer === null || response.destroyed) return;
      const [status, body] = answer;
      const data = JSON.stringify(body ?? {});
      response.writeHead(status, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(data),
      });
      response.end(data);
    });
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.on('error', () => undefined);
      resolve({ server, address: `${host}:${server.address().port}` });
    });
  });
}

/** Closes a server and all of its connections. */
export function shut({ server }) {
  server.close();
  server.closeAllConnections();
}

/** One request; resolves with { status, body } or { status: 0, error } if there is no answer in time. */
export function call(address, method, path, body, timeoutSeconds, agent) {
  const text = body === undefined ? '' : JSON.stringify(body);
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const request = http.request(
      {
        host,
        port: Number(port),
        method,
        path,
        agent,
        headers: { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) },
      },
      (response) => {
        const parts = [];
        response.on('data', (part) => parts.push(part));
        response.on('error', (error) => {
          clearTimeout(timer);
          resolve({ status: 0, error: error.message });
        });
        response.on('end', () => {
          clearTimeout(timer);
          let parsed = null;
          try {
            parsed = JSON.parse(Buffer.concat(parts).toString('utf8'));
          } catch {
            // Not JSON: the status tells enough.
          }
          resolve({ status: response.statusCode, body: parsed });
        });
      },
    );
    const timer = setTimeout(() => {
      request.destroy();
      resolve({ status: 0, error: 'timed out' });
    }, timeoutSeconds * 1000);
    request.on('error', (error) => {
      clearTimeout(timer);
      resolve({ status: 0, error: error.message });
    });
    request.end(text);
  });
}
