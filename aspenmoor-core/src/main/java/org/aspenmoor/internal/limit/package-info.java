/** Limits on how often something may be done. */
package org.aspenmoor.internal.limit;
