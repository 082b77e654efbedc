/** Fake engines on an event loop with a manual clock. */
package org.aspenmoor.internal.bench.policy.engine;
