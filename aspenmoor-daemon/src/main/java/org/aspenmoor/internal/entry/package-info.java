/** The entry: admission, routing and resuming of callers requests. */
package org.aspenmoor.internal.entry;
