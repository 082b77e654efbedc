/** Stand-in for a model engine. */
package org.aspenmoor.internal.standins.engine;
