/** The worker that claims non-idempotent calls in the store, combining many claims in one write. */
package org.aspenmoor.internal.claims;
