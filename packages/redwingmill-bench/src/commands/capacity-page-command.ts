import {readFileSync, writeFileSync} from 'node:fs';
import {command, option, string} from 'cmd-ts';
import {formatCapacityTables, type CapacityResult} from '../experiments/capacity-page.js';

const startMark = '<!-- tables: start -->';
const endMark = '<!-- tables: end -->';

export const capacityPageCommand = command({
	name: 'capacity-page',
	description: 'Generate the tables of the capacity page from the output of capacity.',
	args: {
		input: option({type: string, long: 'input', defaultValue: () => 'docs/capacity.json'}),
		page: option({type: string, long: 'page', defaultValue: () => 'docs/CAPACITY.md'}),
	},
	handler({input, page}) {
		const result = JSON.parse(readFileSync(input, 'utf8')) as CapacityResult;
		const text = readFileSync(page, 'utf8');
		const [head] = text.split(startMark);
		const tail = text.split(endMark)[1] ?? '';
		const tables = formatCapacityTables(result);
		writeFileSync(page, `${head}${startMark}\n\n${tables}\n\n${endMark}${tail}`);
	},
});
