import js from '@eslint/js';
import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';
import importX from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import ts from 'typescript-eslint';

// Layers of src/ from top to bottom. A file may import only from its own layer and from lower ones.
const layers = ['coordination', 'storage', 'protocol', 'transport', 'base'];
const layerRules = layers.map((layer, depth) => ({
  files: [`src/${layer}/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            group: [...layers.slice(0, depth).map((l) => `**/${l}/**`), '../main.js', '**/cli/**'],
            message: 'Import only from the same layer or a lower one.',
          },
        ],
      },
    ],
  },
}));

// Field names that PROTOCOL defines for the wire are used only in src/protocol, which maps them to the names of the other layers.
const wireNames = ['Drone', 'Drones', 'Baton', 'Shift', 'Try', 'Tick', 'Loaners', 'Yard'];
const wireSelector = `Identifier[name=/^(${wireNames.join('|')})$/]`;

/** Limits for the lines of a file, the lines of a function, and the cyclomatic complexity of a function. */
const sizeLimits = (lines, linesPerFunction, complexity) => ({
  'max-lines': ['error', { max: lines, skipComments: true, skipBlankLines: true }],
  'max-lines-per-function': [
    'error',
    { max: linesPerFunction, skipComments: true, skipBlankLines: true },
  ],
  complexity: ['error', complexity],
});

// Files that still exceed the size limits (docs/ROADMAP.md). Remove a file once it is split; never add one.
const oversizedFiles = [
  'src/coordination/leadership/recordFollower.ts',
  'src/coordination/leadership/shardLoader.ts',
  'src/coordination/persistence/bucketWriter.ts',
  'src/coordination/reconciliation/heartbeatReconciler.ts',
  'src/coordination/shard/shard.ts',
  'src/protocol/settings.ts',
  'src/protocol/storedJobSpec.ts',
  'src/storage/chunkIndex.ts',
  'src/storage/recordFormat.ts',
  'src/storage/stateClient.ts',
  'src/transport/httpClient.ts',
];

const jsdocRequirements = {
  publicOnly: true,
  require: { FunctionDeclaration: true, ClassDeclaration: true, MethodDefinition: true },
  checkConstructors: false,
  contexts: [
    'TSInterfaceDeclaration',
    'TSTypeAliasDeclaration',
    'ExportNamedDeclaration > VariableDeclaration',
  ],
};

export default ts.config(
  { ignores: ['**/target/', '**/node_modules/', 'journal/'] },
  { linterOptions: { reportUnusedDisableDirectives: 'error' } },
  js.configs.recommended,
  ...ts.configs.strict,
  {
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      eqeqeq: 'error',
    },
  },
  {
    files: ['src/**/*.ts', 'packages/*/src/**/*.ts'],
    extends: [...ts.configs.strictTypeChecked, ...ts.configs.stylisticTypeChecked],
    languageOptions: { parserOptions: { projectService: true } },
    plugins: { jsdoc, 'import-x': importX },
    settings: { 'import-x/resolver-next': [createTypeScriptImportResolver()] },
    rules: {
      // Numbers and booleans may be interpolated in log lines and messages without `String()`.
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'typeLike', format: ['PascalCase'] },
        { selector: ['function', 'classMethod', 'classProperty'], format: ['camelCase'] },
      ],
      'import-x/no-cycle': 'error',
      'jsdoc/require-jsdoc': ['error', jsdocRequirements],
      ...sizeLimits(300, 40, 12),
    },
  },
  { files: oversizedFiles, rules: sizeLimits(400, 60, 18) },
  {
    // Packages are independent of src/: only src/ imports packages.
    files: ['packages/*/src/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        { patterns: [{ regex: '^(\\.\\./){3,}', message: 'Packages must not import from src/.' }] },
      ],
    },
  },
  ...layerRules,
  {
    // Only one module builds job answers to users, and JobAnswers decides on them (docs/safety.md, U10).
    files: ['src/**/*.ts'],
    ignores: ['src/coordination/jobs/replies.ts'],
    rules: {
      '@typescript-eslint/no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['**/protocol/job.js', './job.js'],
              importNames: ['jobViewAnswer', 'jobStatusAnswer'],
              message:
                'Use jobs/replies.ts: an answer with a state needs the evidence for that state.',
            },
          ],
        },
      ],
    },
  },
  {
    files: ['src/{base,transport,storage,coordination}/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        { selector: wireSelector, message: 'Use wire names only in src/protocol.' },
      ],
    },
  },
);
