package org.aspenmoor.internal.gateway.backend;

/**
 * A head that is not the head of one answer.
 *
 * @param excerpt the part that shows it
 */
record IrregularHead(AnswerIrregularity kind, String excerpt) {}
