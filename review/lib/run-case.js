/**
 * Plays a case and ends all that it started.
 *
 * @returns the exit code: that of `play`, or 2 if the case couldn't run.
 */
export async function runCase(mesh, play) {
	try {
		return await play();
	} catch (error) {
		console.error(error);
		return 2;
	} finally {
		mesh.close();
	}
}
