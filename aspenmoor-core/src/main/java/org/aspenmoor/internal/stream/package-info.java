/** Assembling a whole answer from the frames of one or more attempts. */
package org.aspenmoor.internal.stream;
