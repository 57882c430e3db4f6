/** Age of evidence in the last stage from which on it is late; gates report every 250 ms. */
const lateEvidenceMs = 400;
/** Workers that have been silent for longer before are not expected to report. */
const silentMs = 2500;
/** Part of the expected workers that has to report in the last stage. */
const fewestHeardPart = 0.6;

/** Detects when reports of the target version's workers are late. */
export class ReportMonitor {
	readonly #heardAt = new Map<string, number>();

	/** Records that a worker reported, under its key. */
	onEvidence(key: string, now: number): void {
		this.#heardAt.set(key, now);
	}

	/** Whether evidence is missing on too many workers in a stage in which all of them get many calls. */
	isLate(stageSince: number, now: number): boolean {
		if (now - stageSince < lateEvidenceMs) {
			return false;
		}

		const silences = [...this.#heardAt.values()].map((at) => now - at);
		const heard = silences.filter((silentForMs) => silentForMs <= lateEvidenceMs);
		const expected = silences.filter((silentForMs) => silentForMs <= silentMs);
		return heard.length === 0 || heard.length < fewestHeardPart * expected.length;
	}
}
