/** Stand-in for a plain service. */
package org.aspenmoor.internal.standins.service;
