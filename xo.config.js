/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['**/dist/**', 'target/**', 'packages/*/src/**/generated/**'],
	},
	{
		prettier: 'compat',
	},
	{
		files: ['**/*.ts'],
		rules: {
			// The rules don't recognize the error classes of modern-errors as errors.
			'@typescript-eslint/only-throw-error': 'off',
			'@typescript-eslint/prefer-promise-reject-errors': 'off',
			// JSON from the network is typed where it is read and checked by hand.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Node's http and undici hand over buffers.
			'@typescript-eslint/no-restricted-types': 'off',
			// A `default` states that a switch picks out some variants of a union.
			'@typescript-eslint/switch-exhaustiveness-check': [
				'error',
				{considerDefaultExhaustiveForUnions: true, requireDefaultForNonUnion: true},
			],
			// Retries, polls and steps of an experiment come one after the other on purpose.
			'no-await-in-loop': 'off',
			// Events are named after what happened; `Application` is no abbreviation of `App`.
			'unicorn/prevent-abbreviations': 'off',
		},
	},
	{
		// Error classes are values, and kinds of objects are named as the object API names them.
		files: ['**/errors.ts', '**/object-path.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: [
			'**/main.ts',
			'.ci/*.js',
			'platform/build.js',
			'**/child-processes.ts',
			'**/stand-in-worker.ts',
		],
		rules: {
			'unicorn/no-process-exit': 'off',
		},
	},
	{
		// The bundler takes filters without flags, and bundles for `require` can't wait at top level.
		files: ['platform/build.js', 'platform/src/main.ts'],
		rules: {
			'require-unicode-regexp': 'off',
			'unicorn/prefer-top-level-await': 'off',
		},
	},
	{
		// The platform spells its fields its own way; only its adapter may.
		files: ['platform/**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		// Chai's assertions are expressions, and reach into answers that were waited for.
		files: ['**/__tests__/**/*.ts', 'test/**/*.ts'],
		rules: {
			'unicorn/no-await-expression-member': 'off',
			'@typescript-eslint/no-unused-expressions': 'off',
		},
	},
];

export default config;
