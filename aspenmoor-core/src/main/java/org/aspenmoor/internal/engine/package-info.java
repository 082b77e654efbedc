/** Engines as the rest of the system sees them: their roles, status, load, and the orders they take. */
package org.aspenmoor.internal.engine;
