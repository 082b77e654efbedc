/** Main program of the daemon: start and graceful shutdown of entries and agents. */
package org.aspenmoor.internal.daemon;
