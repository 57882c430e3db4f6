import {readFileSync} from 'node:fs';

const ticksPerSecond = 100;
/** Positions of `utime` and `stime` among the fields after the process name in `/proc/PID/stat`. */
const userTimeField = 11;
const systemTimeField = 12;

/** Returns the processor time that a running process has used, in seconds; resolution 10 ms. */
export function processorSecondsOf(pid: number): number {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[userTimeField]) + Number(fields[systemTimeField])) / ticksPerSecond;
}
