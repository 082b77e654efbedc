/** Decides which engine has which role, from a forecast of the work and what a change costs. */
package org.aspenmoor.internal.planning;
