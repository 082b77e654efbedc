/** The way of one request from its caller to backend servers and back. */
package org.aspenmoor.internal.gateway.request;
