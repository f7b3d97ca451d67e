import {expect} from 'chai';
import {formatProblem, readDocument} from '../src/index.js';

const profile = 'class: interactive\n    idempotent: true\n    deadlineMs: 100';

function list(text: string): string[] {
	return readDocument(text).problems.map(problem => formatProblem('f', problem));
}

describe('readDocument', () => {
	it('reads YAML and JSON', () => {
		const {configuration} = readDocument(`profiles:\n  ranger:\n    ${profile}\nservices: {}\n`);
		expect(configuration?.profiles.ranger).to.deep.include({class: 'interactive', deadlineMs: 100});
		expect(readDocument('{"profiles": {}, "services": {}}').problems).to.deep.equal([]);
	});

	it('lists all problems with their lines', () => {
		const text = [
			'profiles:',
			'  ranger:',
			'    class: fast',
			'    idempotent: true',
			'    deadlineMs: 0',
			'    colour: blue',
			'    size: 3',
			'  Late:',
			'    class: rollout',
			'  late:',
			'    class: rollout',
			'    deadlineMs: 5',
			'services:',
			'  models: {kind: model, models: [a, 3]}',
		].join('\n');
		const problems = list(text);
		expect(problems.map(problem => problem.split(':').slice(1, 4).join(':'))).to.deep.equal([
			'3:5: profiles.ranger.class',
			'5:5: profiles.ranger.deadlineMs',
			'6:5: profiles.ranger.colour',
			'7:5: profiles.ranger.size',
			'8:3: profiles.Late',
			'10:3: profiles.late.idempotent',
			'14:37: services.models.models.1',
		]);
		expect(problems[4]).to.contain('lower-case');
		expect(problems[5]).to.contain('required field is missing');
	});

	it('reports invalid YAML and duplicate names with their lines', () => {
		expect(list('profiles: {\n')[0]).to.match(/^f:2:1: /v);
		expect(list('profiles: {}\nservices: {}\nprofiles: {}\n')[0]).to.match(/^f:3:1: Map keys must be unique/v);
	});

	it('reports an empty document as a problem', () => {
		expect(list('')).to.have.lengthOf(1);
	});
});
