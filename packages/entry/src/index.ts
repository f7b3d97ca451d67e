/** The entry: serves callers, trainers and operators. */
export * from './entry.js';
export * from './settings.js';
export {candidatesPerDataCentre as controlCandidates} from './control.js';
export {msPerMember} from './agent-links.js';
export {farDataCentres, farDegree} from './agent-subset.js';
