/**
 * Figures of the bench: how they are fitted over sizes, checked for growth and printed.
 */

/** One measured figure. */
export type Figure = {
	name: string;
	value: number;
	unit: string;
	/** The same measurement without the system, in the same run. */
	baseline?: number;
	/** Value over baseline. */
	ratio?: number;
	/** Number of measured operations or rows; the largest size if there are several. */
	n: number;
	/** Measurements by size, where the value is a slope. */
	sizes?: Array<{n: number; value: number}>;
	/** Fitted value at size 0. */
	intercept?: number;
	/** Whether the figure grows faster than n log n, which fails the bench. */
	hasFailed?: boolean;
};

export type Measurement = {n: number; value: number};

/** Factor by which growth may exceed n log n between two sizes, to allow for timing noise. */
const growthTolerance = 1.5;

/** Fits a line to the measurements by least squares. */
export function fitLine(measurements: readonly Measurement[]): {slope: number; intercept: number} {
	const count = measurements.length;
	const meanN = measurements.reduce((sum, {n}) => sum + n, 0) / count;
	const meanValue = measurements.reduce((sum, {value}) => sum + value, 0) / count;
	const covariance = measurements.reduce((sum, {n, value}) => sum + ((n - meanN) * (value - meanValue)), 0);
	const variance = measurements.reduce((sum, {n}) => sum + ((n - meanN) ** 2), 0);
	const slope = covariance / variance;
	return {slope, intercept: meanValue - (slope * meanN)};
}

function computeLinearithmic(n: number): number {
	return n * Math.log2(Math.max(2, n));
}

/** Returns whether the value grows faster than n log n between any two consecutive sizes. */
export function isWorseThanLinearithmic(measurements: readonly Measurement[]): boolean {
	return measurements.slice(1).some(({n, value}, index) => {
		const before = measurements[index]!;
		return before.value > 0 && value / before.value > growthTolerance * computeLinearithmic(n) / computeLinearithmic(before.n);
	});
}

/** Creates a figure whose value is the slope over sizes. */
export function createSlope(name: string, unit: string, measurements: readonly Measurement[]): Figure {
	const {slope, intercept} = fitLine(measurements);
	return {
		name, value: slope, unit, n: measurements.at(-1)!.n, sizes: [...measurements], intercept, hasFailed: isWorseThanLinearithmic(measurements),
	};
}

export function createCompared(name: string, unit: string, {value, baseline, n}: {value: number; baseline: number; n: number}): Figure {
	return {
		name, value, unit, baseline, ratio: value / baseline, n,
	};
}

function formatNumber(value: number): string {
	return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}

export function formatFigure({name, value, unit, baseline, ratio, n, sizes, hasFailed}: Figure): string {
	const parts = [
		name.padEnd(34),
		`${formatNumber(value)} ${unit}`.padEnd(24),
		baseline === undefined ? '' : `baseline ${formatNumber(baseline)}, ratio ${formatNumber(ratio!)}`,
		`n ${n}`,
		sizes ? `(${sizes.map(size => `${size.n}: ${formatNumber(size.value)}`).join(', ')})` : '',
		hasFailed ? 'FAILED: grows faster than n log n' : '',
	];
	return parts.filter(Boolean).join('  ');
}
