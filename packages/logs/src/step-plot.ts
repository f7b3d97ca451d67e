/**
 * Plots as text: a bar for each step from its request to its end, and the slots in use.
 */
import type {ReportedStep} from './steps-report.js';
import type {SlotUse} from './slot-use.js';

/** Width of a plot, in characters. */
const plotWidth = 100;

/** Characters for the use of slots, from none to the maximum over all endpoints. */
const levels = ' .:-=+*#%@';

/** Returns one line per step with a bar: `=` up to the lower bound, `#` from there until the step was complete, `.` until it ended. */
export function plotSteps(steps: readonly ReportedStep[], from: number, to: number): string[] {
	const msPerCharacter = Math.max(1, (to - from) / plotWidth);
	const column = (timeMs: number) => Math.round((timeMs - from) / msPerCharacter);
	return steps.map(({trainer, step, askedAt, boundMs, wholeMs, endedMs}) => {
		const begin = column(askedAt);
		const bound = column(askedAt + Math.min(boundMs ?? 0, wholeMs ?? 0));
		const whole = column(askedAt + (wholeMs ?? 0));
		const end = Math.max(whole, column(askedAt + (endedMs ?? wholeMs ?? 0)));
		const bar = ' '.repeat(begin) + '='.repeat(bound - begin) + '#'.repeat(whole - bound) + '.'.repeat(end - whole);
		return `${trainer} ${String(step).padStart(3)} |${bar}`;
	});
}

/** Returns one line per endpoint and model. */
export function plotSlots(uses: readonly SlotUse[]): string[] {
	const maxUsed = Math.max(1, ...uses.flatMap(({used}) => used));
	return uses.map(({model, endpoint, used}) => {
		const bar = used.map(slots => levels[Math.min(levels.length - 1, Math.ceil((slots / maxUsed) * (levels.length - 1)))]).join('');
		return `${model} ${endpoint} |${bar}| most ${Math.max(...used).toFixed(1)}`;
	});
}
