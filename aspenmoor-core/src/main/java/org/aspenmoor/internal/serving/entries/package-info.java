/** Which entries exist according to the store, and which of them count where a bound holds for all of them together. */
package org.aspenmoor.internal.serving.entries;
