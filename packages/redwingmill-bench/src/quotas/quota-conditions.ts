import {type Quota} from 'redwingmill-text';
import {type QuotaFault, type QuotaPlan, type SimulatedWorkspace} from './quota-mesh.js';

/** The platform's bounds. */
const bounds = {windowMs: 5000, overShare: 0.1, slack: 20};
/** Quotas are 1.6 times the usual use. */
const usualShare = 1 / 1.6;
const hotFactor = 7.5;
const nodes = 66;
const dataCentres = 4;
const hotFrom = 20_000;
const hotUntil = 40_000;
const durationMs = 55_000;

const quotas: readonly Quota[] = [
	{perSecond: 2, burst: 0},
	{perSecond: 2, burst: 4},
	{perSecond: 10, burst: 0},
	{perSecond: 20, burst: 40},
	{perSecond: 40, burst: 0},
	{perSecond: 60, burst: 60},
	{perSecond: 100, burst: 0},
	{perSecond: 150, burst: 300},
	{perSecond: 300, burst: 0},
];

function usual(quota: Quota): () => number {
	return () => quota.perSecond * usualShare;
}

function hot(quota: Quota): (now: number) => number {
	return (now) => quota.perSecond * usualShare * (now >= hotFrom && now < hotUntil ? hotFactor : 1);
}

function workspacesWith(
	change: (quota: Quota) => Partial<SimulatedWorkspace>,
): readonly SimulatedWorkspace[] {
	return quotas.map((quota) => ({
		name: `${quota.perSecond}+${quota.burst}`,
		quota,
		demandAt: usual(quota),
		...change(quota),
	}));
}

function nodesOf(dataCentre: number): readonly number[] {
	return Array.from({length: nodes}, (_, index) => index).filter(
		(index) => index % dataCentres === dataCentre,
	);
}

const usualWorkspaces = workspacesWith(() => ({}));
const hotWorkspaces = workspacesWith((quota) => ({demandAt: hot(quota)}));
const allNodes = Array.from({length: nodes}, (_, index) => index);

function plan(
	workspaces: readonly SimulatedWorkspace[],
	faults: readonly QuotaFault[] = [],
): Omit<QuotaPlan, 'seed'> {
	return {
		nodes,
		dataCentres,
		durationMs,
		bounds,
		workspaces,
		faults,
		loss: 0.01,
		duplication: 0.01,
	};
}

/** Conditions under which ways to keep quotas are compared. */
export const quotaConditions = {
	usual: plan(usualWorkspaces),
	hot: plan(hotWorkspaces),
	'near-limit': plan(workspacesWith(({perSecond}) => ({demandAt: () => perSecond * 0.95}))),
	skewed: plan(
		workspacesWith((quota) => ({
			demandAt: hot(quota),
			// Most callers are in one data centre, and move to another one.
			dataCentreAt: (fraction, now) =>
				fraction < 0.85 ? (now < 30_000 ? 0 : 1) : Math.floor(fraction * 1000),
		})),
	),
	'node-cut': plan(hotWorkspaces, [
		{type: 'cut', from: 22_000, until: 28_000, nodes: [5]},
		{type: 'cut', from: 30_000, until: 39_000, nodes: [8, 13, 18]},
	]),
	'node-cut-usual': plan(usualWorkspaces, [
		{type: 'cut', from: 22_000, until: 28_000, nodes: [5]},
		{type: 'cut', from: 30_000, until: 39_000, nodes: [8, 13, 18]},
	]),
	'data-centre-cut': plan(hotWorkspaces, [
		{type: 'cut', from: 19_000, until: 28_000, nodes: nodesOf(1)},
	]),
	'data-centre-cut-usual': plan(usualWorkspaces, [
		{type: 'cut', from: 19_000, until: 28_000, nodes: nodesOf(1)},
	]),
	'server-killed': plan(hotWorkspaces, [
		{type: 'stop', from: 19_900, until: 27_000, nodes: [0]},
		{type: 'stop', from: 33_000, until: 36_000, nodes: [1, 2]},
	]),
	'server-killed-usual': plan(usualWorkspaces, [
		{type: 'stop', from: 19_900, until: 27_000, nodes: [0]},
		{type: 'stop', from: 33_000, until: 36_000, nodes: [1, 2]},
	]),
	'all-restarted': plan(hotWorkspaces, [
		{type: 'stop', from: 21_000, until: 21_500, nodes: allNodes},
		{type: 'stop', from: 30_000, until: 30_500, nodes: allNodes},
	]),
	'rolling-restart': plan(
		hotWorkspaces,
		allNodes.map((index) => ({
			type: 'stop',
			from: 20_000 + index * 300,
			until: 20_800 + index * 300,
			nodes: [index],
		})),
	),
	lowered: plan(
		workspacesWith((quota) => ({
			demandAt: usual(quota),
			change: {
				at: 25_000,
				quota: {perSecond: Math.max(1, quota.perSecond / 10), burst: quota.burst / 10},
			},
		})),
	),
	raised: plan(
		workspacesWith((quota) => ({
			demandAt: hot(quota),
			change: {at: 25_000, quota: {perSecond: quota.perSecond * 5, burst: quota.burst * 5}},
		})),
	),
} as const satisfies Record<string, Omit<QuotaPlan, 'seed'>>;

export type QuotaCondition = keyof typeof quotaConditions;
