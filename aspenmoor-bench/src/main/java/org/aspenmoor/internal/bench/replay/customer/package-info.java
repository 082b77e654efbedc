/** What a customer's callers ask for and what its engines can do, read from files. */
package org.aspenmoor.internal.bench.replay.customer;
