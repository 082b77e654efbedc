/** Frames between aspenmoor's own processes. */
package org.aspenmoor.internal.wire;
