/** Chooses the engine, or the pair of engines, that a request is sent to. Nothing here blocks or reads a clock. */
package org.aspenmoor.internal.routing;
