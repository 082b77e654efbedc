/** Encoding of document dissemination messages as link frames. */
package org.aspenmoor.internal.daemon.dissemination;
