import process from 'node:process';
import {command, number, oneOf, option} from 'cmd-ts';
import {compareScarcity} from '../simulation/compare-scarcity.js';
import {scarceLoads} from '../simulation/scarce-loads.js';

const loadNames = Object.keys(scarceLoads);
const percentPerUnit = 100;

export const scarcityCommand = command({
	name: 'scarcity',
	description: 'Simulate a load beyond the capacity, with and without the order of workspaces.',
	args: {
		load: option({
			type: oneOf(loadNames),
			long: 'load',
			description: `Load to simulate: ${loadNames.join(', ')}.`,
			defaultValue: () => 'hotWorkspace',
		}),
		seeds: option({
			type: number,
			long: 'seeds',
			description: 'Number of simulations, whose results are added up.',
			defaultValue: () => 3,
		}),
	},
	handler({load, seeds}) {
		const seedNumbers = Array.from({length: seeds}, (_, index) => index + 1);
		const {before, after} = compareScarcity(scarceLoads[load], seedNumbers);
		process.stdout.write('class: calls, in target and served without > with, in %\n');
		for (const [name, shares] of after) {
			const previous = before.get(name)!;
			const columns = [previous.inTarget, shares.inTarget, previous.served, shares.served].map(
				(share) => (share * percentPerUnit).toFixed(1),
			);
			process.stdout.write(
				`${name}: ${shares.asked}, ${columns[0]} > ${columns[1]}, ${columns[2]} > ${columns[3]}\n`,
			);
		}
	},
});
