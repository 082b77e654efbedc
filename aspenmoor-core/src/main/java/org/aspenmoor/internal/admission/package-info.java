/** Decides whether, in which order and until when requests wait, and estimates how long they are. */
package org.aspenmoor.internal.admission;
