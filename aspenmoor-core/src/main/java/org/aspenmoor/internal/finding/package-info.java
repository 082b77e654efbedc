/** Findings about what people wrote: collected with their place and reported together. */
package org.aspenmoor.internal.finding;
