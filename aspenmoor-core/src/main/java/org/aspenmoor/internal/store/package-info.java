/** The platform object store as the rest of the system sees it: versions, conditional updates, watches. */
package org.aspenmoor.internal.store;
