/** Limits that a server states for the requests of all entries together, and how the entries share them. */
package org.aspenmoor.internal.serving.limit;
