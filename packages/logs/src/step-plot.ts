/**
 * Plots of text: a bar for each step from asked to whole, and the slots in use.
 */
import type {ReportedStep} from './steps-report.js';
import type {SlotUse} from './slot-use.js';

/** Width of a plot, in characters. */
const plotWidth = 100;

/** Signs of use, from none to all of the most that any endpoint had. */
const levels = ' .:-=+*#%@';

/** One bar a step: `=` up to the least possible time, `#` beyond it until it was whole, `.` until it ended. */
export function plotSteps(steps: readonly ReportedStep[], from: number, to: number): string[] {
	const perCharacter = Math.max(1, (to - from) / plotWidth);
	const column = (timeMs: number) => Math.round((timeMs - from) / perCharacter);
	return steps.map(({trainer, step, askedAt, boundMs, wholeMs, endedMs}) => {
		const begin = column(askedAt);
		const bound = column(askedAt + Math.min(boundMs ?? 0, wholeMs ?? 0));
		const whole = column(askedAt + (wholeMs ?? 0));
		const end = Math.max(whole, column(askedAt + (endedMs ?? wholeMs ?? 0)));
		const bar = ' '.repeat(begin) + '='.repeat(bound - begin) + '#'.repeat(whole - bound) + '.'.repeat(end - whole);
		return `${trainer} ${String(step).padStart(3)} |${bar}`;
	});
}

/** One line for each endpoint and model. */
export function plotSlots(uses: readonly SlotUse[]): string[] {
	const most = Math.max(1, ...uses.flatMap(({used}) => used));
	return uses.map(({model, endpoint, used}) => {
		const bar = used.map(slots => levels[Math.min(levels.length - 1, Math.ceil((slots / most) * (levels.length - 1)))]).join('');
		return `${model} ${endpoint} |${bar}| most ${Math.max(...used).toFixed(1)}`;
	});
}
