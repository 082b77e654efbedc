/**
 * The client of the platform's object store: rate-limited calls, writes whose outcome is resolved after a lost
 * response, and watches that resume after an interruption.
 */
package org.aspenmoor.internal.store.client;
