/** The entry: admission, routing and resumption of the requests of callers. */
package org.aspenmoor.internal.entry;
