/** The entry: what callers, trainers and operators talk to. */
export * from './entry.js';
export * from './settings.js';
export {candidates as controlCandidates} from './control.js';
export {msPerMember} from './view.js';
export {farDataCentres, farDegree} from './view-subset.js';
