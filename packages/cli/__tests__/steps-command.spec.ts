import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {runProgram} from '../src/program.js';

describe('wasabiusher steps', () => {
	let directory: string;

	beforeEach(() => {
		directory = mkdtempSync(path.join(tmpdir(), 'steps-'));
	});

	afterEach(() => {
		rmSync(directory, {recursive: true});
	});

	async function run(...argv: string[]): Promise<{status: number; out: string; error: string}> {
		const printed = {out: '', error: ''};
		const status = await runProgram({
			argv: ['steps', ...argv], environment: {}, writeOut(text) {
				printed.out += text;
			}, writeError(text) {
				printed.error += text;
			},
		});
		return {status, ...printed};
	}

	function write(name: string, lines: readonly string[]): string {
		const file = path.join(directory, name);
		writeFileSync(file, lines.join('\n'));
		return file;
	}

	it('reports on the steps in several files, and counts truncated lines as skipped', async () => {
		const begun = write('a.log', ['time=2026-03-25T09:00:00.000Z level=info program=p event=batch_begun batch=x series=t/ step=1 model=m total=1 wanted=1 groups=1 ageMs=0']);
		const listed = write('b.log', [
			'time=2026-03-25T09:00:02.000Z level=info program=p event=result_listed batch=x sample=s position=0 group=g events=9 scoredMs=1 committedMs=2',
			'time=2026-03-25T09:00:02.000Z level=info program=p event=results_read reason="cu',
		]);
		const {status, out} = await run('--logs', `${begun},${listed}`, '--json');
		expect(status).to.equal(0);
		expect(JSON.parse(out)).to.deep.include({lines: 3, skipped: 1});
		expect((JSON.parse(out) as {steps: Array<{wholeMs: number}>}).steps[0]!.wholeMs).to.equal(2000);
		const text = await run('--logs', begun);
		expect(text.out).to.include('1 steps');
	});

	it('explains an id given without a flag, and reports an unknown id in one line', async () => {
		const file = write('a.log', ['time=2026-03-25T09:00:00.000Z level=info program=p event=call_ended request=q outcome=timeout']);
		const printed = {out: '', error: ''};
		const explain = async (...argv: string[]) => runProgram({
			argv: ['explain', ...argv], environment: {}, writeOut(text) {
				printed.out += text;
			}, writeError(text) {
				printed.error += text;
			},
		});
		expect(await explain('q', '--logs', file)).to.equal(0);
		expect(printed.out).to.include('decided by: call_ended').and.to.match(/^> 09:00:00\.000 - call_ended request=q outcome=timeout$/mv);
		expect(await explain('absent', '--logs', file)).to.equal(1);
		expect(printed.error).to.equal(`nothing names absent in 1 lines of ${file}`);
		expect(await explain('--logs', file)).to.equal(2);
	});

	it('reports an unreadable file or a log without steps in one line', async () => {
		const missing = await run('--logs', path.join(directory, 'absent.log'));
		expect([missing.status, missing.error.split('\n').length]).to.deep.equal([1, 1]);
		expect(missing.error).to.include('absent.log');
		const empty = await run('--logs', write('empty.log', ['nothing']));
		expect([empty.status, empty.error]).to.deep.equal([1, `no step was begun in 1 lines of ${path.join(directory, 'empty.log')}`]);
	});
});
