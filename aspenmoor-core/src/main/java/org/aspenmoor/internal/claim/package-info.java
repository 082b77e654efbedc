/** At-most-once calls: idempotency keys are claimed in the store before dispatch, and their outcomes are recorded. */
package org.aspenmoor.internal.claim;
