/** Stand-in for the platform's object store and host list. */
package org.aspenmoor.internal.standins.store;
