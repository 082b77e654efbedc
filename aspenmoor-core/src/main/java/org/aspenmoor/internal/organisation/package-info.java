/** The organisations that callers belong to, the keys by which they are recognised, and what a key permits. */
package org.aspenmoor.internal.organisation;
