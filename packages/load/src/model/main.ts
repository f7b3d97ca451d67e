/**
 * Prints the experiment: `tsx packages/load/src/model/main.ts [--json] [--seed N] [pattern…]`.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runExperiment} from './experiment.js';
import {formatJson, formatTable} from './report.js';

const {values, positionals} = parseArgs({
	allowPositionals: true,
	options: {json: {type: 'boolean', default: false}, seed: {type: 'string', default: '1'}},
});
const figures = runExperiment(positionals.length > 0 ? positionals : undefined, Number(values.seed));
process.stdout.write(`${values.json ? formatJson(figures) : formatTable(figures)}\n`);
