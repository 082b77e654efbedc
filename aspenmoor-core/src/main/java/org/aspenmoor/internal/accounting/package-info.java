/** Conservation counters: everything that came in is in exactly one place. */
package org.aspenmoor.internal.accounting;
