/** Detects requests and parts of prompts that terminate the servers that process them, and withholds them. */
package org.aspenmoor.internal.serving.quarantine;
