/** The side towards callers: the completions protocol and pass-through over HTTP. */
package org.aspenmoor.internal.http;
