/** Counts, by organisation and window of true time, the requests that began to run, and reports each window once. */
package org.aspenmoor.internal.usage;
