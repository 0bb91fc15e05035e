import js from '@eslint/js';
import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';
import importX from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import ts from 'typescript-eslint';

// The layers, top first. A file may import from its own layer and those below it.
const layers = ['coordination', 'storage', 'protocol', 'transport', 'base'];
const downwardsOnly = layers.map((layer, depth) => ({
  files: [`src/${layer}/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            group: [...layers.slice(0, depth).map((l) => `**/${l}/**`), '../main.js', '**/cli/**'],
            message: 'Imports go downwards only.',
          },
        ],
      },
    ],
  },
}));

// Wire names of PROTOCOL stay inside src/protocol; elsewhere the field's own terms are used.
const wireNames = ['Drone', 'Drones', 'Baton', 'Shift', 'Try', 'Tick', 'Loaners', 'Yard'];
const wireSelector = `Identifier[name=/^(${wireNames.join('|')})$/]`;

/** Limits of a file's lines, a function's lines, and a function's branches. */
const sizeLimits = (lines, linesPerFunction, branches) => ({
  'max-lines': ['error', { max: lines, skipComments: true, skipBlankLines: true }],
  'max-lines-per-function': [
    'error',
    { max: linesPerFunction, skipComments: true, skipBlankLines: true },
  ],
  complexity: ['error', branches],
});

// Files that are not split yet (docs/ROADMAP.md). Take one out when it is; never add one.
const notSplitYet = [
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

const documentedDeclarations = {
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
      // Numbers and booleans in log lines and messages need no `String()`.
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
      'jsdoc/require-jsdoc': ['error', documentedDeclarations],
      ...sizeLimits(300, 40, 12),
    },
  },
  { files: notSplitYet, rules: sizeLimits(400, 60, 18) },
  {
    // A package stands by itself: src/ adapts it, and it knows nothing of src/.
    files: ['packages/*/src/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        { patterns: [{ regex: '^(\\.\\./){3,}', message: 'Packages import nothing of src/.' }] },
      ],
    },
  },
  ...downwardsOnly,
  {
    // What users are told of a job is built in one place, and decided on by JobAnswers (docs/safety.md, U10).
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
              message: 'Use jobs/replies.ts: a state goes with the evidence that it is told on.',
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
        { selector: wireSelector, message: 'Wire names stay inside src/protocol.' },
      ],
    },
  },
);
