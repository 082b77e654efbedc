/** Rolling out versions of models and adapters: which engine loads what next, and which version serves a request. */
package org.aspenmoor.internal.rollout;
