/** All routes of the platform test double. */
import {controlRoutes} from './control-routes.js';
import {logRoutes} from './log-routes.js';
import type {Route} from './route.js';
import {workerRoutes} from './worker-routes.js';

export const routes: readonly Route[] = [...logRoutes, ...workerRoutes, ...controlRoutes];
