/** The client of the platform's object store: budgeted calls, settled writes, and watches that survive gaps. */
package org.aspenmoor.internal.store.client;
