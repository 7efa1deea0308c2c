/** Format and lint rules: XO's own, a few settled (docs/STYLE.md gives the reasons), and a wall around the platform-free core. */
import {readFileSync} from 'node:fs';

/** The verbs that docs/STYLE.md lists. */
function readVerbs() {
	const style = readFileSync(new URL('docs/STYLE.md', import.meta.url), 'utf8');
	return [...style.matchAll(/^Verbs[^:]*: (?<list>.+)$/gmv)].flatMap(({groups}) => groups.list.split(', '));
}

const verbPattern = `/^(?:${[...readVerbs(), 'is', 'has', 'can', 'do', 'does'].join('|')})(?![a-z])/`;
const verbMessage = 'The name begins with no verb of docs/STYLE.md.';
const verbRules = [
	{selector: `FunctionDeclaration[id.name!=${verbPattern}]`, message: verbMessage},
	{selector: `MethodDefinition[kind="method"][key.name!=${verbPattern}]`, message: verbMessage},
];

const coreGlobals = ['process', 'performance', 'setTimeout', 'setInterval', 'setImmediate', 'fetch', 'crypto', 'Buffer', 'console'];

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**', 'reports/**', 'target/**', 'journal/**']},
	{
		rules: {
			'@stylistic/curly-newline': 'off',
			'require-unicode-regexp': 'off',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			'no-restricted-syntax': ['error', ...verbRules],
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'@typescript-eslint/no-empty-function': ['error', {allow: ['private-constructors', 'methods']}],
			'@typescript-eslint/no-unused-private-class-members': 'off',
			'@typescript-eslint/naming-convention': [
				'error',
				{selector: 'typeLike', format: ['StrictPascalCase']},
				{
					selector: ['variable', 'function', 'parameter', 'classMethod', 'classProperty', 'parameterProperty', 'accessor'],
					format: ['strictCamelCase'],
					leadingUnderscore: 'allowSingleOrDouble',
				},
			],
		},
	},
	{
		files: ['packages/core/src/**/*.ts'],
		rules: {
			'no-restricted-imports': ['error', {patterns: [{group: ['node:*', 'undici', 'ws', 'winston', 'hot-shots', 'sade'], message: 'The core does no I/O.'}]}],
			'no-restricted-globals': ['error', ...coreGlobals],
			'no-restricted-syntax': [
				'error',
				...verbRules,
				{selector: 'MemberExpression[object.name="Math"][property.name="random"]', message: 'Randomness comes in with events.'},
				{selector: 'CallExpression[callee.object.name="Date"][callee.property.name="now"]', message: 'Time comes in with events.'},
				{selector: 'NewExpression[callee.name="Date"][arguments.length=0]', message: 'Time comes in with events.'},
			],
		},
	},
	{
		files: ['platform/bundle.js'],
		rules: {'import-x/no-extraneous-dependencies': 'off', 'n/no-extraneous-import': 'off'},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			'no-restricted-imports': 'off',
			'no-restricted-globals': 'off',
			'no-restricted-syntax': 'off',
			'@typescript-eslint/no-floating-promises': [
				'error',
				{allowForKnownSafeCalls: [{from: 'package', name: ['describe', 'it', 'test'], package: 'node:test'}]},
			],
		},
	},
];

export default config;
