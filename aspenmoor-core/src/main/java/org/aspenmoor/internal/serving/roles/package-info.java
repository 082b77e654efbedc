/** Decides which engines run prefill and which run decode, and which process may order role changes. */
package org.aspenmoor.internal.serving.roles;
