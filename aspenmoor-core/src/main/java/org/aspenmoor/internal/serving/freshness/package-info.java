/** Entries confirm to each other that what they have read from the store is still up to date. */
package org.aspenmoor.internal.serving.freshness;
