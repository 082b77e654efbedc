/** Assembles complete answers from the frames of one or more attempts. */
package org.aspenmoor.internal.stream;
