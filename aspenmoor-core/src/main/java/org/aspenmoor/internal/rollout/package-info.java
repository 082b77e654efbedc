/** Rollout of model and adapter versions: what each engine loads next, and which version serves a request. */
package org.aspenmoor.internal.rollout;
