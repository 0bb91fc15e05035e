/** Loaded before a controller's program: its time of day is ahead of the machine's by `SOAK_SKEW_MS`. */
const skew = Number(process.env['SOAK_SKEW_MS'] ?? 0);
const now = Date.now.bind(Date);
Date.now = () => now() + skew;
