/** A team's document for one service: what it declares, how it is read and checked. */
package org.aspenmoor.internal.document;
