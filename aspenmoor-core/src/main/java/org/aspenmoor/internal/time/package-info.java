/** Clocks as an injected dependency; code that makes decisions never reads the system clocks directly. */
package org.aspenmoor.internal.time;
