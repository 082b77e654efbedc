/** The load tool: sends a seeded mix of requests and checks every answer for completeness and against the ledgers. */
package org.aspenmoor.internal.standins.load;
