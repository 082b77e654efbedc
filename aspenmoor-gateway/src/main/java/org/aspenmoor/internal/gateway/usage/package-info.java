/** Counts the usage of organisations at an entry, collects the counts of all entries, and reports them to the platform. */
package org.aspenmoor.internal.gateway.usage;
