/**
 * Admission control: decides whether requests wait, in which order and for how long, and estimates the lengths of
 * prompts and answers.
 */
package org.aspenmoor.internal.admission;
