/** The policy bench: runs the planning and routing classes against fake engines on a manual clock. */
package org.aspenmoor.internal.bench.policy;
