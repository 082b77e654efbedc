/** Duties that one entry at a time performs for all entries, and the lease that decides which one. */
package org.aspenmoor.internal.duty;
