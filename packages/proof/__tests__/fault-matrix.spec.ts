import {expect} from 'chai';
import {
	listCells, paths, runCell, type Path,
} from '../src/index.js';

const pathNames = Object.keys(paths) as Path[];

for (const path of pathNames) {
	describe(`faults on the ${path} path`, () => {
		for (const cell of listCells(path)) {
			const [{fault, step}] = cell.injections as [typeof cell.injections[number]];
			it(`breaks no rule after ${fault} at ${step}`, async () => {
				const {broken, injected} = await runCell(cell);
				expect(broken).to.deep.equal([]);
				expect(injected).to.equal(1);
			});
		}
	});
}
