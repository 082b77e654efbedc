/** Limits on retries: a retry budget for each team and a circuit breaker for each backend server. */
package org.aspenmoor.internal.retry;
