/** The framing of the protocol between aspenmoor processes. */
package org.aspenmoor.internal.wire;
