/** The public surface of aspenmoor: the outcome of a request, its identity, and the errors a caller can meet. */
package org.aspenmoor;
