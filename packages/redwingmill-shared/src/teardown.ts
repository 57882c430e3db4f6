/** Undoes a registration. Calling it again has no effect. */
export type Teardown = () => void;
