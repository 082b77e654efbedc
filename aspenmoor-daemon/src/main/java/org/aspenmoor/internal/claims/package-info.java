/** The thread that claims non-idempotent calls in the store, many with one write. */
package org.aspenmoor.internal.claims;
