// The rules that the whole of src/ is being brought under; eslint.config.js takes them over folder by folder.
import jsdoc from 'eslint-plugin-jsdoc';
import importX from 'eslint-plugin-import-x';
import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';
import ts from 'typescript-eslint';

export default ts.config(
  { ignores: ['**/target/', '**/node_modules/', 'journal/'] },
  {
    files: ['src/**/*.ts', 'packages/*/src/**/*.ts'],
    extends: [...ts.configs.strictTypeChecked, ...ts.configs.stylisticTypeChecked],
    languageOptions: { parserOptions: { projectService: true } },
    linterOptions: { reportUnusedDisableDirectives: 'error' },
    plugins: { jsdoc, 'import-x': importX },
    settings: { 'import-x/resolver-next': [createTypeScriptImportResolver()] },
    rules: {
      // Numbers and booleans in log lines and messages need no `String()`.
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      'import-x/no-cycle': 'error',
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: { FunctionDeclaration: true, ClassDeclaration: true, MethodDefinition: true },
          checkConstructors: false,
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
        },
      ],
      'max-lines': ['error', { max: 300, skipComments: true, skipBlankLines: true }],
      'max-lines-per-function': ['error', { max: 40, skipComments: true, skipBlankLines: true }],
      complexity: ['error', 12],
    },
  },
);
