/** The interface to the platform's object store: versioned objects, conditional updates, watches. */
package org.aspenmoor.internal.store;
