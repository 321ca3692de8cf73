import neostandard from 'neostandard'

const forbiddenSyntax = [
  { selector: 'TSEnumDeclaration', message: 'use a string union' },
  { selector: 'ClassDeclaration', message: 'use data and functions' },
  { selector: 'ClassExpression', message: 'use data and functions' }
]

export default [
  { ignores: ['dist/**', 'target/**', 'src/protocol/gen/**', 'node_modules/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports', fixStyle: 'separate-type-imports' }],
      'no-restricted-syntax': ['error', ...forbiddenSyntax],
      'no-throw-literal': 'error',
      'max-lines': ['error', { max: 450, skipBlankLines: true, skipComments: true }]
    }
  },
  {
    files: ['src/**/*.ts'],
    ignores: ['src/core/assertInvariant.ts'],
    rules: {
      'no-restricted-syntax': ['error', ...forbiddenSyntax,
        { selector: 'ThrowStatement', message: 'return an outcome, or call assertInvariant' }]
    }
  },
  {
    files: ['src/**/*.ts'],
    ignores: ['src/core/**'],
    rules: { 'no-restricted-imports': ['error', { patterns: [{ group: ['**/platform/*'], message: 'only the program in platform/ knows the platform' }] }] }
  },
  {
    files: ['src/core/**/*.ts'],
    rules: {
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'process', 'performance', 'console', 'Buffer'],
      'no-restricted-properties': ['error',
        { object: 'Date', property: 'now', message: 'times arrive in events' },
        { object: 'Math', property: 'random', message: 'seeds sit in state' }],
      'no-restricted-imports': ['error', { patterns: ['node:*', '../protocol/*', '../../protocol/*', '../runtime/*', '../../runtime/*', '**/platform/*'] }]
    }
  }
]
