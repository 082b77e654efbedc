/** Results of the policy bench as text, JSON and PNG. */
package org.aspenmoor.internal.bench.policy.report;
