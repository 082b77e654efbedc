/** The documents in which teams declare their services: reading, checking, accepting and storing them. */
package org.aspenmoor.internal.document;
