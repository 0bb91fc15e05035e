import js from '@eslint/js';
import ts from 'typescript-eslint';
import imports from 'eslint-plugin-import-x';

// The layers, top first. A file may import from its own layer and those below it.
const layers = ['coordination', 'storage', 'protocol', 'transport', 'base'];
const upward = layers.flatMap((layer, depth) =>
  layers
    .slice(0, depth)
    .concat('main.ts', 'cli.ts')
    .map((higher) => ({ target: `./src/${layer}`, from: `./src/${higher}` })),
);

// Wire names of PROTOCOL stay inside src/protocol; elsewhere the field's own terms are used.
const wireNames = ['Drone', 'Drones', 'Baton', 'Shift', 'Try', 'Tick', 'Loaners', 'Yard'];
const wireSelector = `Identifier[name=/^(${wireNames.join('|')})$/]`;

export default ts.config(
  { ignores: ['target/', 'node_modules/', 'journal/'] },
  js.configs.recommended,
  ...ts.configs.strict,
  {
    plugins: { 'import-x': imports },
    rules: {
      'import-x/no-restricted-paths': ['error', { zones: upward }],
      '@typescript-eslint/no-explicit-any': 'error',
      eqeqeq: 'error',
    },
  },
  {
    files: ['src/{base,transport,storage,coordination}/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        { selector: wireSelector, message: 'Wire names stay inside src/protocol.' },
      ],
    },
  },
);
