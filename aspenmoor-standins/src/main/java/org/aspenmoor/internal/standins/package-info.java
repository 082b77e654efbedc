/** Stand-in processes for the platform and the backend servers; for tests and the demo only. */
package org.aspenmoor.internal.standins;
