/** The administration API of an entry: documents, status, duties, dumps; for operators, with their own tokens. */
package org.aspenmoor.internal.administration;
