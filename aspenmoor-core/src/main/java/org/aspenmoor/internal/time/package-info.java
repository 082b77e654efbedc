/** Time as the decisions see it: passed in, never read from the machine. */
package org.aspenmoor.internal.time;
