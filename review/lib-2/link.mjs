// A link between two processes that a packet filter can close: then connections are refused, and open ones are reset.
import net from 'node:net';
import { setTimeout } from 'node:timers';

export class Link {
  constructor(target) {
    [this.host, this.port] = target.split(':');
    this.sockets = new Set();
  }

  /** Listens at a loopback address of its own; resolves with it. */
  async listen(address) {
    this.address = address;
    const [host, port] = address.split(':');
    this.server = net.createServer((socket) => {
      const onward = net.connect(Number(this.port), this.host);
      for (const end of [socket, onward]) {
        this.sockets.add(end);
        end.setNoDelay(true);
        end.on('error', () => undefined);
        end.on('close', () => {
          this.sockets.delete(end);
          setTimeout(() => (end === socket ? onward : socket).destroy(), 10);
        });
      }
      socket.pipe(onward);
      onward.pipe(socket);
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(port), host, resolve);
    });
    return address;
  }

  /** From now on connections are refused. */
  close() {
    this.server?.close();
    this.server = undefined;
    for (const socket of this.sockets) socket.resetAndDestroy();
  }
}
