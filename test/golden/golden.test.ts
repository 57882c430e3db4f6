import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {FakeMesh} from '../support/fake-mesh.js';
import {nodeSettingsFor, configurationTextWith} from '../support/fixtures.js';

const seed = 1;
const sites = nodeSettingsFor(['dc-a', 'dc-b']);

/** Whole sessions; each is recorded from the first start to the last message. */
const sessions: Readonly<Record<string, (mesh: FakeMesh) => void>> = {
	'change-in-force'(mesh) {
		mesh.apply(configurationTextWith(1000));
		mesh.run(3000);
		mesh.apply(configurationTextWith(2000));
		mesh.run(3000);
	},
	'bad-version-nowhere'(mesh) {
		mesh.apply(configurationTextWith(1000));
		mesh.run(3000);
		mesh.apply('{"services": {}, "routes": [{"path": "/x", "service": "none"}]}');
		mesh.run(3000);
	},
	'relay-dies'(mesh) {
		mesh.apply(configurationTextWith(1000));
		mesh.run(3000);
		const relay = mesh.relayOf('dc-a');
		if (relay) {
			mesh.kill(relay);
			mesh.apply(configurationTextWith(2000));
			mesh.run(6000);
			mesh.start(relay.settings);
		}

		mesh.run(4000);
	},
	'platform-outage'(mesh) {
		mesh.apply(configurationTextWith(1000));
		mesh.run(3000);
		mesh.setPlatformDown(true);
		mesh.run(6000);
		mesh.setPlatformDown(false);
		mesh.apply(configurationTextWith(2000));
		mesh.run(6000);
	},
};

function record(run: (mesh: FakeMesh) => void): string[] {
	const mesh = new FakeMesh(seed);
	const lines: string[] = [];
	mesh.onTrace = (line) => {
		lines.push(line);
	};

	for (const site of sites) {
		mesh.start(site);
	}

	mesh.run(3000);
	run(mesh);
	expect(mesh.checker.violations).to.deep.equal([]);
	return lines;
}

describe('golden sessions', () => {
	for (const [name, run] of Object.entries(sessions)) {
		it(name, () => {
			const file = fileURLToPath(new URL(`../../golden/${name}.txt`, import.meta.url));
			const text = `${record(run).join('\n')}\n`;
			if (process.env.UPDATE_GOLDEN) {
				writeFileSync(file, text);
			}

			expect(text).to.equal(readFileSync(file, 'utf8'));
		});
	}
});
