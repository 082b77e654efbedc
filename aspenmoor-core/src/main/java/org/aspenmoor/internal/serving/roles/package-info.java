/** Which engines compute prompts and which generate answers, and who may tell them so. */
package org.aspenmoor.internal.serving.roles;
