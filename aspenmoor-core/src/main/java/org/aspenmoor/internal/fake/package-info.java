/**
 * Simple in-memory fakes of the store and of engines with fault injection, for tests and simulations on a manual clock.
 */
package org.aspenmoor.internal.fake;
