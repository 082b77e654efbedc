/** The public API of aspenmoor: the outcome of a request, its id, and the base class of errors. */
package org.aspenmoor;
