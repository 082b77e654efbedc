/** Detects requests that terminate the servers that process them, and withholds them from further servers. */
package org.aspenmoor.internal.serving.quarantine;
