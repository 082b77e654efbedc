/**
 * Planning of engine roles: decides which engine has which role, from a forecast of the demand and the cost of role
 * changes.
 */
package org.aspenmoor.internal.planning;
