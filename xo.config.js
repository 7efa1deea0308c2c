/** Format and lint rules: XO's own, and a wall around the platform-free core. */
const coreGlobals = ['process', 'performance', 'setTimeout', 'setInterval', 'setImmediate', 'fetch', 'crypto', 'Buffer', 'console'];

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**', 'reports/**']},
	{
		files: ['packages/core/src/**/*.ts'],
		ignores: ['**/*.test.ts'],
		rules: {
			'no-restricted-imports': ['error', {patterns: [{group: ['node:*', 'undici', 'ws', 'winston', 'hot-shots', 'sade'], message: 'The core does no I/O.'}]}],
			'no-restricted-globals': ['error', ...coreGlobals],
			'no-restricted-syntax': [
				'error',
				{selector: 'MemberExpression[object.name="Math"][property.name="random"]', message: 'Randomness comes in with events.'},
				{selector: 'CallExpression[callee.object.name="Date"][callee.property.name="now"]', message: 'Time comes in with events.'},
				{selector: 'NewExpression[callee.name="Date"][arguments.length=0]', message: 'Time comes in with events.'},
			],
		},
	},
];

export default config;
