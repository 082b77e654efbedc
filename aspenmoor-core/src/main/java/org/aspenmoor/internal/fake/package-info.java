/** Small fakes of the store and of engines on a manual clock, for tests and the soak; they fail on demand. */
package org.aspenmoor.internal.fake;
