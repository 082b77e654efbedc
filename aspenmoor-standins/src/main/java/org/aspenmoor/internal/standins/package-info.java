/** Small stand-ins for the systems aspenmoor meets, for tests and the demo. */
package org.aspenmoor.internal.standins;
