/** Rate limits. */
package org.aspenmoor.internal.limit;
