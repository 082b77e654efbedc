/** The worker that keeps engines in the roles that the traffic needs. */
package org.aspenmoor.internal.gateway.roles;
