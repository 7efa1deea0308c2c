/** Calls about tasks on workers. */
