/** Preloaded into a controller process: shifts its wall-clock time (`Date.now`) forward by `SOAK_SKEW_MS`. */
const skew = Number(process.env['SOAK_SKEW_MS'] ?? 0);
const now = Date.now.bind(Date);
Date.now = () => now() + skew;
