import process from 'node:process';
import {PlatformServer} from 'redwingmill-platform';

/** Runs the stand-in platform at the address `ip:port` given as the first argument. */
const [host, port] = process.argv[2].split(':');
const address = await new PlatformServer().listen(host, Number(port));
process.stdout.write(`listening ${address}\n`);
