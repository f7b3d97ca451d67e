/** The entry: serves callers, trainers and operators. */
export * from './entry.js';
export * from './settings.js';
export {candidatesPerDataCentre as controlCandidates} from './control.js';
export {refreshIntervalPerMemberMs} from './agent-links.js';
export {maxRemoteDataCentres, remoteDegree} from './agent-subset.js';
