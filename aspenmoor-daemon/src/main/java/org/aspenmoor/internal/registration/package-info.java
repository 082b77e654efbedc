/** The registrations of agents in the store. */
package org.aspenmoor.internal.registration;
