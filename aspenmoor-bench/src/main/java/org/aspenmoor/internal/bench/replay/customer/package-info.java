/** Load and engine performance of a customer's deployment, read from files. */
package org.aspenmoor.internal.bench.replay.customer;
