/** Mistakes found in settings and documents, collected with their locations and reported together. */
package org.aspenmoor.internal.finding;
