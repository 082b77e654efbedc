/** The daemon's start, settings and lifecycle. */
package org.aspenmoor.internal.daemon;
