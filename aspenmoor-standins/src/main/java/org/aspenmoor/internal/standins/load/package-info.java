/** The load tool: seeded requests as the houses send them, each answer checked whole and against the ledgers. */
package org.aspenmoor.internal.standins.load;
