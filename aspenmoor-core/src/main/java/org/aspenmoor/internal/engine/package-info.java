/** The interface to engines: roles, status, load and orders. */
package org.aspenmoor.internal.engine;
